package sorrelhoist.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import sorrelhoist.routing.RoutingActions.Tell;

/**
 * Shares bad news of endpoints with the other routers, as far as a budget of bytes allows: where
 * many routers each see an endpoint seldom, one learns from the others. All of it is a hint that
 * fades; a false one costs locality, never a rule.
 */
final class GossipSender {
    /** Points of the result that may be spent on messages. */
    private static final double SPENDING = 0.003;

    /** Most bytes of one message: receivers take no more. */
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

    /** Each arrival of a request adds to the budget. */
    void recordArrival() {
        RoutingSettings settings = context.settings();
        double share = SPENDING / Math.max(SPENDING, settings.capabilities().gossipCost());
        budgetBytes =
                Math.min(
                        MAX_MESSAGE_BYTES * (double) settings.routers(),
                        budgetBytes + MAX_MESSAGE_BYTES * share);
    }

    /**
     * Sends one piece of gossip, with what could not be paid for before, or keeps it.
     *
     * @param endpoint what it is about
     * @param kind which
     * @param classTenantKey whom it concerns; 0 for all
     * @param value its figure, by kind
     */
    void tell(Endpoint endpoint, char kind, int classTenantKey, long value) {
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
