package sorrelhoist.routing;

/** Health of one endpoint; {@link OutlierDetector} owns its changes. */
final class EndpointHealth {
    /** Share of recent attempts that failed, the newest weighing most. */
    double failureRate;

    /** Recent times over the expected, the newest weighing most. */
    double latencyRatio = 1;

    /** How many times the latency ratio rests on. */
    int latencySamples;

    /** Whether it is ejected: it gets single recovery probes only. */
    boolean ejected;

    /** Successes in a row since it was ejected. */
    int consecutiveSuccesses;

    /** When an ejected endpoint may get its next recovery probe. */
    long recoveryProbeAt;

    /** Wait before the recovery probe after a failed one; doubles. */
    long recoveryBackoffMicros;

    /** Failures that other routers told of, fading. */
    final DecayingDelay gossipedFailures = new DecayingDelay();

    /** Whether what is known rests on other routers' word alone. */
    boolean reportedByPeers;

    /** {@return whether anything is known of it, by own evidence or by peers} */
    boolean isKnown() {
        return latencySamples > 0 || failureRate > 0;
    }
}
