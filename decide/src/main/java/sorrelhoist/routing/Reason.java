package sorrelhoist.routing;

/**
 * Why an action was taken, as data. Estimates are microseconds unless the kind says otherwise; what
 * was not compared is not a number. Nothing here decides anything, and nothing here comes back into
 * a decision.
 *
 * @param kind what settled it
 * @param expected the figure that was compared
 * @param limit what it was compared with
 * @param read of a door's sum: the read
 * @param first of a door's sum: the first token after the read
 * @param lag of a door's sum: how far writers are behind
 * @param estimate the chosen server's figure: for a read its completion, for a write tokens under
 *     way there
 * @param next the next best server, or null
 * @param nextEstimate its figure
 */
public record Reason(
        Kind kind,
        double expected,
        double limit,
        double read,
        double first,
        double lag,
        double estimate,
        String next,
        double nextEstimate) {
    /** The kinds of reason. The order is part of the record's form: new ones come last. */
    public enum Kind {
        /** Nothing is known: from a build that gave no reasons. */
        UNKNOWN,
        /** A reader likely keeps more of the prompt than not, and is the cheapest of those. */
        KEPT,
        /** The cheapest reader by load, eviction and the tokens that it misses. */
        CHEAPEST,
        /** A beginning that was never seen: its reader by hash. */
        UNSEEN,
        /** The heaviest reader gave a read to the lightest. */
        SHIFTED,
        /** The chosen reader was jammed: the soonest took it. */
        UNJAMMED,
        /** One request at a time to a server that was set aside. */
        TRIAL,
        /** The draw fell on servers that read and answer. */
        MIXED,
        /** No reader could be used: a writer reads the prompt itself. */
        WRITER_READS,
        /** The lighter of two drawn writers; figures are tokens under way. */
        TWO_DRAWS,
        /** The read and the writers' first token would come later than the class's aim. */
        DOOR,
        /** The same, against the aim of a class that is worth more. */
        DOOR_LESS_WORTH,
        /** The same, for a tenant beyond its share. */
        DOOR_SHARE,
        /** No server is listed for what comes next. */
        NO_SERVER,
        /** What is listed drains. */
        DRAINING,
        /** What is listed started a moment ago and takes no more for now. */
        COLD,
        /** Nowhere would a repeat be harmless. */
        REPEAT_UNSAFE,
        /** The budget of repeats is spent; figures are permits. */
        REPEAT_BUDGET,
        /** All sends that a request may have were made; figures are sends. */
        ATTEMPTS,
        /** The same, and the last server said that it was full. */
        TOLD_FULL,
        /** The client's time is up; figures are since it asked. */
        DEADLINE,
        /** The read was done, and no writer could be used while its state may be held. */
        HELD_TOO_LONG,
        /** The client left. */
        CLIENT_GONE,
        /** The router itself is full or ends; figures are open requests. */
        ROUTER_FULL
    }

    private static final double NO = Double.NaN;

    /** No reason is known. */
    public static final Reason UNKNOWN = of(Kind.UNKNOWN);

    /** {@return why a server was chosen; its stage should end so long after the client asked} */
    static Reason chosen(
            Kind kind,
            double expected,
            double aim,
            double estimate,
            String next,
            double nextEstimate) {
        return new Reason(kind, expected, aim, NO, NO, NO, estimate, next, nextEstimate);
    }

    /** {@return why the door was closed, with the parts of what was expected} */
    static Reason door(
            Kind kind, double expected, double limit, double read, double first, double lag) {
        return new Reason(kind, expected, limit, read, first, lag, NO, null, NO);
    }

    /** {@return a reason without figures} */
    public static Reason of(Kind kind) {
        return compared(kind, NO, NO);
    }

    /** {@return a reason with the two figures that were compared} */
    public static Reason compared(Kind kind, double expected, double limit) {
        return new Reason(kind, expected, limit, NO, NO, NO, NO, null, NO);
    }
}
