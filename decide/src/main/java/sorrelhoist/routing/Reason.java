package sorrelhoist.routing;

/**
 * Why an action was taken, as data. Estimates are microseconds unless the kind says otherwise; what
 * was not compared is not a number. Nothing here decides anything, and nothing here comes back into
 * a decision.
 *
 * @param kind what settled it
 * @param expected the figure that was compared
 * @param limit what it was compared with
 * @param read of an admission's estimate: the prefill
 * @param first of an admission's estimate: the first token after the prefill
 * @param lag of an admission's estimate: the queueing delay of decodes
 * @param estimate the chosen endpoint's figure: for a prefill its completion, for a decode the
 *     tokens in flight there
 * @param next the next best endpoint, or null
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
        /** An endpoint likely has most of the prompt cached, and is the cheapest of those. */
        KEPT,
        /** The cheapest endpoint by load, evictions and missed tokens. */
        CHEAPEST,
        /** A prefix that was never seen: its endpoint by hash. */
        UNSEEN,
        /** The heaviest endpoint gave a prefill to the lightest. */
        SHIFTED,
        /** The chosen endpoint was jammed: the one that is soonest done took it. */
        UNJAMMED,
        /** A recovery probe of an ejected endpoint. */
        TRIAL,
        /** The draw fell on mixed endpoints. */
        MIXED,
        /** No prefill endpoint could be used: a decode endpoint reads the prompt itself. */
        WRITER_READS,
        /** The lighter of two drawn decode endpoints; figures are tokens in flight. */
        TWO_DRAWS,
        /** Rejected on arrival: the first token would come later than the latency objective. */
        DOOR,
        /** The same, against the objective of a class of more weight. */
        DOOR_LESS_WORTH,
        /** The same, for a tenant over its quota. */
        DOOR_SHARE,
        /** No server is listed for what comes next. */
        NO_SERVER,
        /** What is listed is draining. */
        DRAINING,
        /** What is listed is warming up and takes no more for now. */
        COLD,
        /** A retry would be idempotent nowhere. */
        REPEAT_UNSAFE,
        /** The retry budget is exhausted; figures are retries. */
        REPEAT_BUDGET,
        /** All attempts that a request may have were made; figures are attempts. */
        ATTEMPTS,
        /** The same, and the last endpoint rejected it as full. */
        TOLD_FULL,
        /** The deadline has passed; figures are since the arrival. */
        DEADLINE,
        /**
         * The prompt was read, and no decode endpoint could be used while its state may be
         * reserved.
         */
        HELD_TOO_LONG,
        /** The client disconnected. */
        CLIENT_GONE,
        /** The router itself is full or shuts down; figures are open requests. */
        ROUTER_FULL,
        /** Nothing shows that the attempt has reached its endpoint; another one is tried. */
        UNCONFIRMED
    }

    private static final double NOT_COMPARED = Double.NaN;

    /** No reason is known. */
    public static final Reason UNKNOWN = of(Kind.UNKNOWN);

    /** {@return why an endpoint was chosen; its stage should end so long after the arrival} */
    static Reason chosen(
            Kind kind,
            double expected,
            double objective,
            double estimate,
            String next,
            double nextEstimate) {
        return new Reason(
                kind,
                expected,
                objective,
                NOT_COMPARED,
                NOT_COMPARED,
                NOT_COMPARED,
                estimate,
                next,
                nextEstimate);
    }

    /** {@return why a request was rejected on arrival, with the parts of the estimate} */
    static Reason rejectedOnArrival(
            Kind kind, double expected, double limit, double read, double first, double lag) {
        return new Reason(
                kind, expected, limit, read, first, lag, NOT_COMPARED, null, NOT_COMPARED);
    }

    /** {@return a reason without figures} */
    public static Reason of(Kind kind) {
        return compared(kind, NOT_COMPARED, NOT_COMPARED);
    }

    /** {@return a reason with the two figures that were compared} */
    public static Reason compared(Kind kind, double expected, double limit) {
        return new Reason(
                kind,
                expected,
                limit,
                NOT_COMPARED,
                NOT_COMPARED,
                NOT_COMPARED,
                NOT_COMPARED,
                null,
                NOT_COMPARED);
    }
}
