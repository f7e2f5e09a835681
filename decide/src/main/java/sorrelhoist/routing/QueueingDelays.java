package sorrelhoist.routing;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Tracks by how much endpoints and links are slower than their expected times. */
final class QueueingDelays {
    /** Minimum delay that is gossiped to other routers, in microseconds. */
    private static final long GOSSIP_THRESHOLD_MICROS = 100_000;

    private static final long OVERDUE_STEP_MICROS = 4 * GOSSIP_THRESHOLD_MICROS;

    private static final long MICROS_PER_MILLI = 1000;

    private final RoutingContext context;
    private final ArrivalRate arrivals;
    private final GossipSender gossip;
    // By the cell from which a prefilled state is fetched.
    private final Map<Integer, DecayingValue> links = new TreeMap<>();
    private final DecayingValue prefillDelay = new DecayingValue();
    private final DecayingValue firstTokenDelay = new DecayingValue();

    QueueingDelays(RoutingContext context, ArrivalRate arrivals, GossipSender gossip) {
        this.context = context;
        this.arrivals = arrivals;
        this.gossip = gossip;
    }

    /**
     * {@return the larger of the last observed delay, own or gossiped, after decay, and the overdue
     * time, in microseconds}
     */
    double ofEndpoint(Endpoint endpoint) {
        return Math.max(endpoint.queueingDelay.valueAt(context.now()), overdue(endpoint));
    }

    /**
     * Returns by how much this router's oldest awaited attempt at an endpoint is overdue, in
     * microseconds. An attempt is ignored once a later one was answered: it is lost, which does not
     * indicate congestion.
     */
    double overdue(Endpoint endpoint) {
        return endpoint.inFlight.overdueMicros(context.now());
    }

    /** {@return the delay of state transfers out of a cell, in microseconds} */
    double ofLinkFrom(int cell) {
        DecayingValue link = links.get(cell);
        return link == null ? 0 : link.valueAt(context.now());
    }

    /** {@return the delay of prefills over all endpoints, in microseconds} */
    double ofPrefills() {
        return prefillDelay.valueAt(context.now());
    }

    /** {@return the delay of first tokens over all endpoints, in microseconds} */
    double ofFirstTokens() {
        return firstTokenDelay.valueAt(context.now());
    }

    /**
     * Records the delay of an answer. An answer whose state came from another cell sets the delay
     * of that cell's link, any other one the delay of the endpoint. While requests are dense,
     * delays of endpoints are not recorded, as the service times then reflect congestion.
     */
    void recordAnswer(TrackedRequest request, Attempt attempt, int fromCell, long tookMicros) {
        long now = context.now();
        Endpoint endpoint = attempt.endpoint;
        endpoint.history.recordAnswer(now);
        endpoint.inFlight.recordAnswered(attempt);
        boolean local = fromCell == endpoint.cell;
        boolean dense = arrivals.isDense();
        if (dense && local) {
            return;
        }
        double delay = Math.max(0, tookMicros - attempt.estimate.totalMicros());
        DecayingValue observed =
                local
                        ? endpoint.queueingDelay
                        : links.computeIfAbsent(fromCell, cell -> new DecayingValue());
        observed.set(delay, now);
        DecayingValue pool = attempt.prefill ? prefillDelay : firstTokenDelay;
        pool.moveTowards(dense ? 0 : Math.min(delay, request.latencyObjective), now);
        if (local && delay >= GOSSIP_THRESHOLD_MICROS) {
            gossipDelay(endpoint, delay);
        }
    }

    /**
     * Gossips endpoints with overdue attempts while these are still in flight: other routers would
     * send there until the attempts time out. A growing delay is gossiped again each time it has
     * grown by {@link #OVERDUE_STEP_MICROS}.
     *
     * @param serving the serving endpoints of a role
     * @param intervalMicros time between two calls, in microseconds
     */
    void gossipOverdue(List<Endpoint> serving, long intervalMicros) {
        for (Endpoint endpoint : serving) {
            double overdue = overdue(endpoint);
            if (overdue >= OVERDUE_STEP_MICROS && overdue % OVERDUE_STEP_MICROS < intervalMicros) {
                gossipDelay(endpoint, overdue);
            }
        }
    }

    private void gossipDelay(Endpoint endpoint, double delayMicros) {
        gossip.publish(endpoint, GossipCodec.DELAY, 0, (long) delayMicros / MICROS_PER_MILLI);
    }
}
