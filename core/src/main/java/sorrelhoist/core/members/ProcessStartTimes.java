package sorrelhoist.core.members;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Converts the start times of server processes, which lists give on the clocks of other machines,
 * to times on this router's clock.
 *
 * <p>A listed start is the wall clock of another machine at another moment, and either clock may
 * have been stepped since. Listed starts are therefore only compared for equality: a different
 * start means a different process. The listed time is used only for saved lists and for the first
 * list from discovery, when there is no other information; a time in the future counts as now. A
 * process that is first listed after that counts as started at that moment, which is never too
 * early. A clock step therefore costs at most one warm-up time of service, and no server stays in
 * slow start for longer.
 *
 * <p>Limitation: if a router starts while its clock is ahead by more than the warm-up time, it
 * treats servers that started just before it as warm.
 */
public final class ProcessStartTimes {
    /** The start time of a process that has been running for a long time. */
    public static final long LONG_AGO = 0;

    /**
     * Maximum number of servers remembered, including servers that left, as they may be listed
     * again.
     */
    private static final int MAX_SERVERS = 8192;

    /** The start time of a process, as listed and on this router's clock. */
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
     * Converts a listed start time.
     *
     * @param server the server's id
     * @param listed the listed start time, in microseconds of any clock; {@link #LONG_AGO} for a
     *     process that has been running for a long time
     * @param now the time on this router's clock, in microseconds
     * @return the start time on this router's clock, in microseconds; {@link #LONG_AGO} for a
     *     process that has been running for a long time
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

    /**
     * Records that a list from discovery was applied, as opposed to one that was saved before this
     * router started. Processes that are first listed from now on count as started when they are
     * listed.
     */
    public void discoveryListReceived() {
        discoveryListReceived = true;
    }
}
