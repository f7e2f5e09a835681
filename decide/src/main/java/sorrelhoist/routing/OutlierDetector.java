package sorrelhoist.routing;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Ejects endpoints that fail or are slow beyond their peers, and brings them back after successful
 * recovery probes. One scale serves dead, failing, hanging and slow servers: the share of failures,
 * and the time over the expected.
 */
final class OutlierDetector {
    /** Multiple of the peers' median latency ratio from which an endpoint is ejected. */
    static final double MAX_LATENCY_RATIO = 2.5;

    /** Share of failures beyond which an endpoint is ejected. */
    private static final double MAX_FAILURE_RATE = 0.5;

    /** Weight of the newest outcome: two failures pass the limit. */
    private static final double OUTCOME_WEIGHT = 0.3;

    private static final double LATENCY_WEIGHT = 0.25;

    /** Times that are needed before latency is judged. */
    private static final int MIN_LATENCY_SAMPLES = 3;

    /** The median by which latency is judged is at least this. */
    private static final double MIN_MEDIAN_LATENCY_RATIO = 0.5;

    /** Successful recovery probes that bring an endpoint back: one may be luck. */
    private static final int RECOVERY_SUCCESSES = 2;

    /** Wait before the first recovery probe, for each router; doubles with each failed one. */
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
     * Counts a success.
     *
     * @param endpoint where
     * @param latencyRatio time over the expected
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

    /** Counts a failure. */
    void recordFailure(Endpoint endpoint) {
        EndpointHealth health = endpoint.health;
        health.reportedByPeers = false;
        health.failureRate += OUTCOME_WEIGHT * (1 - health.failureRate);
        update(endpoint, false);
    }

    /** Counts a failure to connect: one is enough to eject. */
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
            gossip.tell(endpoint, GossipCodec.RECOVERED, 0, context.settings().zone());
        }
    }

    /** Ejects an endpoint on the word of other routers; their probes are spread over the wait. */
    void ejectOnGossip(Endpoint endpoint) {
        recordUnreachable(endpoint);
        long backoff = maxBackoff();
        endpoint.health.recoveryBackoffMicros = backoff;
        endpoint.health.recoveryProbeAt = context.now() + context.random().nextLong(backoff);
    }

    /** Brings an endpoint back that another router found well. */
    void reinstateOnGossip(Endpoint endpoint) {
        EndpointHealth health = endpoint.health;
        health.ejected = false;
        health.failureRate = Math.min(health.failureRate, MAX_FAILURE_RATE);
        health.gossipedFailures.clear();
    }

    /**
     * {@return whether an ejected endpoint may get a recovery probe now: one at a time, after its
     * wait}
     */
    boolean isRecoveryProbeDue(Endpoint endpoint) {
        return endpoint.health.ejected
                && endpoint.inFlight.count() == 0
                && endpoint.health.recoveryProbeAt <= context.now();
    }

    /** A recovery probe was sent: the next one waits again. */
    void recordRecoveryProbe(Endpoint endpoint) {
        endpoint.health.recoveryProbeAt = context.now() + endpoint.health.recoveryBackoffMicros;
    }

    /** {@return the median of a figure over the serving endpoints of the same role} */
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
     * All routers together probe it about once a second: a router that is told when it has
     * recovered can wait.
     */
    private long maxBackoff() {
        RoutingSettings settings = context.settings();
        long fleet = FLEET_BACKOFF_MULTIPLE * RECOVERY_BACKOFF_MICROS * settings.routers();
        return settings.capabilities().gossip()
                ? Math.max(MAX_RECOVERY_BACKOFF_MICROS, fleet)
                : MAX_RECOVERY_BACKOFF_MICROS;
    }
}
