package sorrelhoist.core.members;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Since when servers' processes run, on this router's own clock, from what a list says of other
 * machines' clocks.
 *
 * <p>A told start is another machine's wall clock at another moment, and either clock may have been
 * stepped since. Told starts are therefore compared only for being equal: another one is another
 * process. A process that this router hears of while it runs counts as started when it hears of it,
 * which is never too early. The told age is used in the first lists alone, where there is nothing
 * else to go by, and a start that lies ahead counts as now. A step so costs at most one cold time
 * of service, and no server is held cold for longer.
 *
 * <p>Risk: a router that starts with a clock that runs ahead by more than the cold time takes
 * servers that started just before it for warm.
 */
public final class ProcessStartTimes {
    /** The start of a process that runs for long. */
    public static final long LONG_AGO = 0;

    private static final int MOST_REMEMBERED =
            8192; // also servers that left: one may be seen again

    private final Map<String, Start> starts =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Start> eldest) {
                    return size() > MOST_REMEMBERED;
                }
            };
    private boolean discoveryListReceived;

    /** What was told of a server's start, and when that was on this router's clock. */
    private record Start(long told, long since) {}

    /**
     * Translates a start.
     *
     * @param server whose
     * @param told its start as it was told, in microseconds of whatever clock; {@link #LONG_AGO}
     *     for long ago
     * @param now this router's clock, in microseconds
     * @return since when it runs, on this router's clock; {@link #LONG_AGO} for long ago
     */
    public long localStartTime(String server, long told, long now) {
        Start before = starts.get(server);
        if (before != null && before.told() == told) {
            return before.since();
        }
        long since =
                told == LONG_AGO ? LONG_AGO : discoveryListReceived ? now : Math.min(told, now);
        starts.put(server, new Start(told, since));
        return since;
    }

    /** A list of discovery's own was taken, not one handed down from before this router's start. */
    public void discoveryListReceived() {
        discoveryListReceived = true;
    }
}
