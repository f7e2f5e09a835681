package sorrelhoist.core.members;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Translates the starts of servers' processes, as a list gives them on other machines' clocks, into
 * times of this router's own clock.
 *
 * <p>A listed start is another machine's wall clock at another moment, and either clock may have
 * been stepped since. Listed starts are therefore only compared for being equal: another one is
 * another process. A process that this router hears of while it runs counts as started when it
 * hears of it, which is never too early. The listed time is used for the first lists alone, where
 * there is nothing else to go by, and one that lies ahead counts as now. So a clock step costs at
 * most one warm-up time of service, and no server is held in slow start for longer.
 *
 * <p>Risk: a router that starts with a clock that runs ahead by more than the warm-up time takes
 * servers that started just before it for warm.
 */
public final class ProcessStartTimes {
    /** The start of a process that has run for long. */
    public static final long LONG_AGO = 0;

    /** Servers that left are remembered too, as they may be listed again. */
    private static final int MAX_SERVERS = 8192;

    /** A process's start as it was listed, and as a time of this router's clock. */
    private record Start(long listed, long local) {}

    private final Map<String, Start> starts = new LeastRecentlyUsedStarts();
    private boolean discoveryListReceived;

    private static final class LeastRecentlyUsedStarts extends LinkedHashMap<String, Start> {
        private static final long serialVersionUID = 1;

        LeastRecentlyUsedStarts() {
            super(16, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Start> eldest) {
            return size() > MAX_SERVERS;
        }
    }

    /**
     * Translates a start.
     *
     * @param server whose
     * @param listed its start as listed, in microseconds of whatever clock; {@link #LONG_AGO} for
     *     long ago
     * @param now this router's clock, in microseconds
     * @return since when it runs, on this router's clock; {@link #LONG_AGO} for long ago
     */
    public long localStartTime(String server, long listed, long now) {
        Start known = starts.get(server);
        if (known != null && known.listed() == listed) {
            return known.local();
        }
        long local = firstLocalTime(listed, now);
        starts.put(server, new Start(listed, local));
        return local;
    }

    private long firstLocalTime(long listed, long now) {
        if (listed == LONG_AGO) {
            return LONG_AGO;
        }
        return discoveryListReceived ? now : Math.min(listed, now);
    }

    /** A list of discovery's own was taken, not one that was saved before this router's start. */
    public void discoveryListReceived() {
        discoveryListReceived = true;
    }
}
