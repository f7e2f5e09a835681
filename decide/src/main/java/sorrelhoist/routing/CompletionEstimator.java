package sorrelhoist.routing;

/** Estimates when a prefill would end at an endpoint, in microseconds from now. */
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
     * {@return time until a prefill would end: own ones in flight, the delay they don't explain,
     * and it}
     */
    double completion(Endpoint endpoint, TrackedRequest request) {
        return endpoint.inFlight.awaitedMicros()
                + delays.at(endpoint)
                + uncontended(endpoint, request);
    }

    /** {@return the time that a prefill takes with nothing ahead of it} */
    double uncontended(Endpoint endpoint, TrackedRequest request) {
        return serviceTimes.prefillMicros(endpoint, prefixes.missedTokens(endpoint, request));
    }

    /**
     * Estimates the same by the intervals between prefills, for admission where requests are dense.
     * The time between two prefills' ends at an endpoint is what each costs those behind it; the
     * time from send to end holds the waiting too, and summed over a queue counts it over and over.
     * Guards against rejecting bursts that endpoints have capacity for; harm: where others'
     * prefills come in between by chance, more is admitted than can be read in time.
     */
    double pacedCompletion(Endpoint endpoint, TrackedRequest request) {
        double delay = delays.at(endpoint);
        long missed = prefixes.missedTokens(endpoint, request);
        return endpoint.inFlight.addAwaited(
                delay + serviceTimes.prefillIntervalMicros(endpoint, missed),
                attempt -> serviceTimes.prefillIntervalMicros(endpoint, attempt.missedTokens));
    }
}
