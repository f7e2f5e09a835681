package sorrelhoist.routing;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** How far endpoints and links lag behind what their service times explain. */
final class QueueingDelays {
    /** A delay that other routers are told of, in microseconds. */
    private static final long GOSSIP_THRESHOLD_MICROS = 100_000;

    private static final long OVERDUE_STEP_MICROS = 4 * GOSSIP_THRESHOLD_MICROS;

    private static final long MICROS_PER_MILLI = 1000;

    private final RoutingContext context;
    private final ArrivalRate arrivals;
    private final GossipSender gossip;
    // By the cell from which a state is fetched.
    private final Map<Integer, DecayingDelay> links = new TreeMap<>();
    private final DecayingDelay prefillPool = new DecayingDelay();
    private final DecayingDelay firstTokenPool = new DecayingDelay();

    QueueingDelays(RoutingContext context, ArrivalRate arrivals, GossipSender gossip) {
        this.context = context;
        this.arrivals = arrivals;
        this.gossip = gossip;
    }

    /**
     * {@return the delay observed last, by any router that told of it, as it fades; or what is
     * overdue}
     */
    double at(Endpoint endpoint) {
        return Math.max(endpoint.queueingDelay.at(context.now()), overdue(endpoint));
    }

    /**
     * Returns by how much the oldest own attempt at an endpoint is late, in microseconds; one that
     * a later one has overtaken is lost: no jam.
     */
    double overdue(Endpoint endpoint) {
        return endpoint.inFlight.overdueMicros(context.now());
    }

    /** {@return the delay of states that are fetched out of a cell} */
    double ofLinkFrom(int cell) {
        DecayingDelay link = links.get(cell);
        return link == null ? 0 : link.at(context.now());
    }

    /** {@return the delay of prefills over all endpoints} */
    double ofPrefills() {
        return prefillPool.at(context.now());
    }

    /** {@return the delay of first tokens over all endpoints} */
    double ofFirstTokens() {
        return firstTokenPool.at(context.now());
    }

    /** An answer shows its delay; one whose state came from another cell tells of a link. */
    void recordAnswer(TrackedRequest request, Attempt attempt, int fromCell, long tookMicros) {
        long now = context.now();
        Endpoint endpoint = attempt.endpoint;
        endpoint.history.recordAnswer(now);
        endpoint.inFlight.provenBy(attempt);
        boolean local = fromCell == endpoint.cell;
        boolean dense = arrivals.isDense();
        if (dense && local) {
            return;
        }
        double delay = Math.max(0, tookMicros - attempt.estimate.totalMicros());
        DecayingDelay observed =
                local
                        ? endpoint.queueingDelay
                        : links.computeIfAbsent(fromCell, cell -> new DecayingDelay());
        observed.set(delay, now);
        DecayingDelay pool = attempt.prefill ? prefillPool : firstTokenPool;
        pool.approach(dense ? 0 : Math.min(delay, request.latencyObjective), now);
        if (local && delay >= GOSSIP_THRESHOLD_MICROS) {
            gossipDelay(endpoint, delay);
        }
    }

    /**
     * Tells of silent endpoints while attempts are in flight: until they time out, others send
     * there. While a delay grows, it is told again each time that it has grown by the step.
     *
     * @param serving the endpoints
     * @param intervalMicros time between two calls
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
        gossip.tell(endpoint, GossipCodec.DELAY, 0, (long) delayMicros / MICROS_PER_MILLI);
    }
}
