package sorrelhoist.routing;

/** Estimates the time until a prefill would complete at an endpoint, in microseconds from now. */
final class CompletionEstimator {
    private final ServiceTimes serviceTimes;
    private final QueueingDelays delays;
    private final PrefixTable prefixes;

    CompletionEstimator(ServiceTimes serviceTimes, QueueingDelays delays, PrefixTable prefixes) {
        this.serviceTimes = serviceTimes;
        this.delays = delays;
        this.prefixes = prefixes;
    }

    /**
     * {@return the time until a prefill would complete: this router's awaited attempts, the
     * queueing delay that they do not explain, and the prefill itself}
     */
    double completion(Endpoint endpoint, TrackedRequest request) {
        return endpoint.inFlight.awaitedMicros()
                + delays.ofEndpoint(endpoint)
                + uncontended(endpoint, request);
    }

    /** {@return the time of a prefill at an idle endpoint} */
    double uncontended(Endpoint endpoint, TrackedRequest request) {
        return serviceTimes.prefillMicros(endpoint, prefixes.missedTokens(endpoint, request));
    }

    /**
     * Estimates the time until a prefill would complete from the intervals between prefills; used
     * by admission while requests are dense.
     *
     * <p>The interval between the ends of two prefills at an endpoint is the delay that one prefill
     * adds for the prefills queued behind it. The time from send to end includes the queueing, so
     * its sum over a queue would count the queueing repeatedly and reject bursts that the endpoints
     * have capacity for. Drawback: if prefills of other routers happen to run in between, more is
     * admitted than can be processed in time.
     */
    double completionByIntervals(Endpoint endpoint, TrackedRequest request) {
        double delay = delays.ofEndpoint(endpoint);
        long missed = prefixes.missedTokens(endpoint, request);
        return endpoint.inFlight.addAwaited(
                delay + serviceTimes.prefillIntervalMicros(endpoint, missed),
                attempt -> serviceTimes.prefillIntervalMicros(endpoint, attempt.missedTokens));
    }
}
