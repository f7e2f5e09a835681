package sorrelhoist.routing;

/**
 * Health of one endpoint. {@link OutlierDetector} owns it. In addition, {@link StateTransfer} sets
 * imported values and {@link GossipReceiver} counts gossiped failures.
 */
final class EndpointHealth {
    /** Share of recent attempts that failed, 0 to 1, exponentially weighted towards the newest. */
    double failureRate;

    /** Ratio of recent times to expected times, exponentially weighted towards the newest. */
    double latencyRatio = 1;

    /** Number of samples in the latency ratio. */
    int latencySamples;

    /**
     * Whether the endpoint is ejected: it is sent single recovery probes only, unless too few
     * candidates are left.
     */
    boolean ejected;

    /** Consecutive successes since the ejection. */
    int consecutiveSuccesses;

    /** Earliest time of the next recovery probe, in microseconds. */
    long recoveryProbeAt;

    /** Delay until the next recovery probe after a failed one; doubles with each failure. */
    long recoveryBackoffMicros;

    /** Decaying count of the failures that other routers reported. */
    final DecayingValue gossipedFailures = new DecayingValue();

    /** Whether the health rests on imported knowledge alone. */
    boolean reportedByPeers;

    /**
     * {@return whether the health is known, from this router's own attempts or from other routers}
     */
    boolean isKnown() {
        return latencySamples > 0 || failureRate > 0;
    }
}
