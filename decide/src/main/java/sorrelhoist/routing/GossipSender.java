package sorrelhoist.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import sorrelhoist.routing.RoutingActions.Tell;

/**
 * Gossips failures, rejections, delays and recoveries of endpoints to the other routers within a
 * budget of bytes. With many routers, each one sends to an endpoint only rarely and learns of
 * faults from the others. All gossip is a hint that decays; a false hint costs cache locality but
 * never breaks a rule.
 */
final class GossipSender {
    /** Score points that messages may cost. */
    private static final double MAX_SCORE_COST = 0.003;

    /** Maximum size of a message, in bytes; receivers accept no more. */
    private static final int MAX_MESSAGE_BYTES = 256;

    private static final int ALL_ROUTERS = -1;

    private final RoutingContext context;
    private final ArrivalRate arrivals;
    private final Map<String, GossipCodec.Item> pending = new LinkedHashMap<>();
    private double budgetBytes;

    GossipSender(RoutingContext context, ArrivalRate arrivals) {
        this.context = context;
        this.arrivals = arrivals;
    }

    /** Adds the share of one arriving request to the budget. */
    void recordArrival() {
        RoutingSettings settings = context.settings();
        double share =
                MAX_SCORE_COST / Math.max(MAX_SCORE_COST, settings.capabilities().gossipCost());
        budgetBytes =
                Math.min(
                        MAX_MESSAGE_BYTES * (double) settings.routers(),
                        budgetBytes + MAX_MESSAGE_BYTES * share);
    }

    /**
     * Sends one gossip item together with the pending items, or keeps it pending if the budget or
     * the settings do not permit the message. All pending items are dropped once they exceed half
     * of a message.
     *
     * @param endpoint the endpoint that the item is about
     * @param kind one of the kinds of {@link GossipCodec}
     * @param classTenantKey the class and tenant that the item concerns; 0 for all
     * @param value the kind's value
     */
    void publish(Endpoint endpoint, char kind, int classTenantKey, long value) {
        pending.put(Hash.tag(endpoint.id), new GossipCodec.Item(kind, classTenantKey, value));
        String body = GossipCodec.write(pending);
        RoutingSettings settings = context.settings();
        double price = body.length() * (settings.routers() - 1.0);
        boolean affordable = price > 0 && price <= budgetBytes;
        boolean useful = kind != GossipCodec.DELAY || !arrivals.isDense();
        if (settings.capabilities().gossip() && affordable && useful) {
            budgetBytes -= price;
            context.emit(new Tell(ALL_ROUTERS, body));
            pending.clear();
        } else if (body.length() > MAX_MESSAGE_BYTES / 2) {
            pending.clear();
        }
    }
}
