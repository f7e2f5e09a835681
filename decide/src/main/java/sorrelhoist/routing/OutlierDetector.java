package sorrelhoist.routing;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Ejects endpoints that fail, or that are slow compared with their peers, and reinstates them after
 * successful recovery probes. Dead, failing, hanging and slow servers are all judged by the failure
 * rate and the ratio of times to expected times.
 */
final class OutlierDetector {
    /** Multiple of the peers' median latency ratio above which an endpoint is ejected. */
    static final double MAX_LATENCY_RATIO = 2.5;

    /** Failure rate above which an endpoint is ejected. */
    private static final double MAX_FAILURE_RATE = 0.5;

    /**
     * Weight of the newest outcome in the failure rate: two consecutive failures exceed the limit.
     */
    private static final double OUTCOME_WEIGHT = 0.3;

    private static final double LATENCY_WEIGHT = 0.25;

    /** Minimum number of latency samples for an endpoint to be judged slow. */
    private static final int MIN_LATENCY_SAMPLES = 3;

    /** Lower bound of the peers' median latency ratio. */
    private static final double MIN_MEDIAN_LATENCY_RATIO = 0.5;

    /**
     * Consecutive successful recovery probes that reinstate an endpoint; a single one may succeed
     * by chance.
     */
    private static final int RECOVERY_SUCCESSES = 2;

    /**
     * Delay until the first recovery probe, multiplied by the number of routers; doubles with each
     * failed probe.
     */
    private static final long RECOVERY_BACKOFF_MICROS = 200_000;

    private static final long MAX_RECOVERY_BACKOFF_MICROS = 4_000_000;
    private static final int FLEET_BACKOFF_MULTIPLE = 4;

    private final RoutingContext context;
    private final EndpointTable endpoints;
    private final GossipSender gossip;

    OutlierDetector(RoutingContext context, EndpointTable endpoints, GossipSender gossip) {
        this.context = context;
        this.endpoints = endpoints;
        this.gossip = gossip;
    }

    /**
     * Records a success.
     *
     * @param endpoint the endpoint
     * @param latencyRatio ratio of the time to the expected time
     */
    void recordSuccess(Endpoint endpoint, double latencyRatio) {
        EndpointHealth health = endpoint.health;
        health.reportedByPeers = false;
        health.failureRate += OUTCOME_WEIGHT * (0 - health.failureRate);
        health.latencySamples++;
        health.latencyRatio +=
                (health.ejected ? 2 : 1) * LATENCY_WEIGHT * (latencyRatio - health.latencyRatio);
        update(endpoint, true);
    }

    /** Records a failure. */
    void recordFailure(Endpoint endpoint) {
        EndpointHealth health = endpoint.health;
        health.reportedByPeers = false;
        health.failureRate += OUTCOME_WEIGHT * (1 - health.failureRate);
        update(endpoint, false);
    }

    /** Records a failure to connect. A single one ejects the endpoint. */
    void recordUnreachable(Endpoint endpoint) {
        endpoint.health.failureRate = 1;
        recordFailure(endpoint);
    }

    private void update(Endpoint endpoint, boolean success) {
        EndpointHealth health = endpoint.health;
        boolean slow = isSlow(endpoint);
        if (!health.ejected && (health.failureRate > MAX_FAILURE_RATE || slow)) {
            health.ejected = true;
            health.consecutiveSuccesses = 0;
            health.recoveryBackoffMicros = firstBackoff();
            health.recoveryProbeAt = context.now() + health.recoveryBackoffMicros;
        } else if (health.ejected) {
            updateRecovery(endpoint, success && !slow);
        }
    }

    private boolean isSlow(Endpoint endpoint) {
        EndpointHealth health = endpoint.health;
        return health.latencySamples >= MIN_LATENCY_SAMPLES
                && health.latencyRatio
                        > MAX_LATENCY_RATIO
                                * Math.max(
                                        MIN_MEDIAN_LATENCY_RATIO,
                                        median(endpoint, peer -> peer.latencyRatio));
    }

    private void updateRecovery(Endpoint endpoint, boolean success) {
        EndpointHealth health = endpoint.health;
        if (success) {
            health.consecutiveSuccesses++;
            health.recoveryBackoffMicros = firstBackoff();
            health.recoveryProbeAt = context.now();
        } else {
            health.consecutiveSuccesses = 0;
            health.recoveryBackoffMicros = Math.min(maxBackoff(), 2 * health.recoveryBackoffMicros);
            health.recoveryProbeAt = context.now() + health.recoveryBackoffMicros;
        }
        if (health.consecutiveSuccesses >= RECOVERY_SUCCESSES) {
            health.ejected = false;
            health.failureRate = 0;
            gossip.publish(endpoint, GossipCodec.RECOVERED, 0, context.settings().zone());
        }
    }

    /**
     * Ejects an endpoint that other routers reported. The first probe is due at a random time
     * within the maximum delay, which spreads the probes of the routers.
     */
    void ejectOnGossip(Endpoint endpoint) {
        recordUnreachable(endpoint);
        long backoff = maxBackoff();
        endpoint.health.recoveryBackoffMicros = backoff;
        endpoint.health.recoveryProbeAt = context.now() + context.random().nextLong(backoff);
    }

    /** Reinstates an endpoint that another router found healthy. */
    void reinstateOnGossip(Endpoint endpoint) {
        EndpointHealth health = endpoint.health;
        health.ejected = false;
        health.failureRate = Math.min(health.failureRate, MAX_FAILURE_RATE);
        health.gossipedFailures.clear();
    }

    /**
     * {@return whether an ejected endpoint may be sent a recovery probe now: probes are sent one at
     * a time, after a delay}
     */
    boolean isRecoveryProbeDue(Endpoint endpoint) {
        return endpoint.health.ejected
                && endpoint.inFlight.count() == 0
                && endpoint.health.recoveryProbeAt <= context.now();
    }

    /** Records that a recovery probe was sent and schedules the next one. */
    void recordRecoveryProbe(Endpoint endpoint) {
        endpoint.health.recoveryProbeAt = context.now() + endpoint.health.recoveryBackoffMicros;
    }

    /**
     * {@return the lower median of a health value over the serving endpoints of the same role; 1 if
     * there are none}
     */
    double median(Endpoint endpoint, ToDoubleFunction<EndpointHealth> figure) {
        List<Endpoint> peers = endpoints.servingPeersOf(endpoint);
        double[] sorted =
                peers.stream().map(peer -> peer.health).mapToDouble(figure).sorted().toArray();
        return sorted.length == 0 ? 1 : sorted[(sorted.length - 1) / 2];
    }

    private long firstBackoff() {
        return Math.min(maxBackoff(), RECOVERY_BACKOFF_MICROS * context.settings().routers());
    }

    /**
     * Returns the maximum delay between recovery probes. With gossip, all routers together probe an
     * endpoint about once a second: a router can wait longer, as it is told when the endpoint has
     * recovered.
     */
    private long maxBackoff() {
        RoutingSettings settings = context.settings();
        long fleet = FLEET_BACKOFF_MULTIPLE * RECOVERY_BACKOFF_MICROS * settings.routers();
        return settings.capabilities().gossip()
                ? Math.max(MAX_RECOVERY_BACKOFF_MICROS, fleet)
                : MAX_RECOVERY_BACKOFF_MICROS;
    }
}
