package sorrelhoist.routing;

/**
 * The reason for an action, as data. Estimates are in microseconds unless the kind says otherwise;
 * values that were not compared are NaN. Reasons contain no decision logic, and no decision reads
 * them.
 *
 * @param kind the deciding reason
 * @param expected the value that was compared
 * @param limit the value that it was compared with
 * @param read part of an admission estimate: the time until the prefill completes
 * @param first part of an admission estimate: the time from the end of the prefill to the first
 *     token
 * @param lag part of an admission estimate: the queueing delay of decodes
 * @param estimate the selected endpoint's value: the completion time for a prefill, the tokens in
 *     flight for a decode
 * @param next the next best endpoint's id, or null
 * @param nextEstimate the next best endpoint's value
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
    /**
     * The kinds of reason. Recordings store them by their order, so new kinds have to be added at
     * the end.
     */
    public enum Kind {
        /** No reason is known: the action was recorded by a build without reasons. */
        UNKNOWN,
        /**
         * The endpoint likely has most of the prompt cached and is the cheapest of those that have.
         */
        KEPT,
        /** The cheapest endpoint by load, evictions and uncached tokens. */
        CHEAPEST,
        /** The session and the prefix are unknown: the endpoint is selected by hash. */
        UNSEEN,
        /**
         * The prefill was moved from the endpoint with the highest load to the one with the lowest.
         */
        SHIFTED,
        /**
         * The selected endpoint was congested, so the one with the earliest completion was used.
         */
        UNJAMMED,
        /** A recovery probe of an ejected endpoint. */
        TRIAL,
        /**
         * The random choice between mixed and separate endpoints selected mixed ones, or separate
         * ones are missing.
         */
        MIXED,
        /** No prefill endpoint is available: a decode endpoint does the prefill itself. */
        WRITER_READS,
        /**
         * The decode endpoint with fewer tokens in flight, of two drawn at random; values are
         * tokens in flight.
         */
        TWO_DRAWS,
        /** Rejected on arrival: the first token would miss the latency objective. */
        DOOR,
        /**
         * Rejected on arrival: the first token would miss the objective of a class with a higher
         * priority weight.
         */
        DOOR_LESS_WORTH,
        /**
         * Rejected on arrival: the tenant is over its quota, and the first token would miss the
         * tighter limit for such tenants.
         */
        DOOR_SHARE,
        /** No server is listed for the next stage. */
        NO_SERVER,
        /** No server of the role is serving, and at least one is draining. */
        DRAINING,
        /** The listed servers are warming up and may be sent no more requests for now. */
        COLD,
        /** No endpoint may run a retry, as the request might take effect twice. */
        REPEAT_UNSAFE,
        /** The retry budget is exhausted; values are retries. */
        REPEAT_BUDGET,
        /** The request has used all its attempts; values are attempts. */
        ATTEMPTS,
        /** The request has used all its attempts, and the last endpoint rejected it as full. */
        TOLD_FULL,
        /** The deadline has passed; values are times since the arrival. */
        DEADLINE,
        /**
         * The prefill is done, and no decode endpoint became available within the time for which
         * the state may be kept.
         */
        HELD_TOO_LONG,
        /** The client disconnected. */
        CLIENT_GONE,
        /** The router itself is full or shutting down; values are open requests. */
        ROUTER_FULL,
        /** The attempt is not confirmed to have reached its endpoint; another endpoint is tried. */
        UNCONFIRMED
    }

    private static final double NOT_COMPARED = Double.NaN;

    /** A reason for actions whose reason is not known. */
    public static final Reason UNKNOWN = of(Kind.UNKNOWN);

    /**
     * {@return the reason for the selection of an endpoint; {@code expected} is the expected time
     * from the arrival to the end of the stage}
     */
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

    /** {@return the reason for a rejection on arrival, with the parts of the estimate} */
    static Reason rejectedOnArrival(
            Kind kind, double expected, double limit, double read, double first, double lag) {
        return new Reason(
                kind, expected, limit, read, first, lag, NOT_COMPARED, null, NOT_COMPARED);
    }

    /** {@return a reason without values} */
    public static Reason of(Kind kind) {
        return compared(kind, NOT_COMPARED, NOT_COMPARED);
    }

    /** {@return a reason with the two values that were compared} */
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
