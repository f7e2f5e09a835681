package sorrelhoist.lab.soak;

/**
 * Measures how late the events of a stream come. Each carries the time at which its worker wrote
 * it, as {@code t=NANOS;}, and may be split over any number of parts.
 */
final class EventDelayMeter {
    private static final String MARK = "t=";
    private static final char END = ';';
    private String unread = "";

    void reset() {
        unread = "";
    }

    /** {@return the longest delay of the events that this part completes, in nanoseconds; or 0} */
    long add(String part) {
        unread += part;
        long longest = 0;
        for (int mark = unread.indexOf(MARK); mark >= 0; mark = unread.indexOf(MARK)) {
            int end = unread.indexOf(END, mark);
            if (end < 0) {
                return longest;
            }
            long writtenAt = Long.parseLong(unread.substring(mark + MARK.length(), end));
            longest = Math.max(longest, System.nanoTime() - writtenAt);
            unread = unread.substring(end);
        }
        return longest;
    }
}
