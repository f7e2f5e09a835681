package sorrelhoist.routing;

import sorrelhoist.routing.GossipCodec.Item;

/** Applies the gossip about endpoints that other routers send. */
final class GossipReceiver {
    /**
     * Decayed number of gossiped failures, beyond a multiple of the peers' median, that ejects an
     * endpoint.
     */
    private static final double EJECTION_THRESHOLD = 2;

    private static final long MICROS_PER_MILLI = 1000;

    private final RoutingContext context;
    private final ArrivalRate arrivals;
    private final EndpointTable endpoints;
    private final OutlierDetector outliers;

    GossipReceiver(
            RoutingContext context,
            ArrivalRate arrivals,
            EndpointTable endpoints,
            OutlierDetector outliers) {
        this.context = context;
        this.arrivals = arrivals;
        this.endpoints = endpoints;
        this.outliers = outliers;
    }

    /** Applies one message. Skips items about unknown endpoints. */
    void receive(String body) {
        GossipCodec.read(body)
                .forEach(
                        (tag, item) -> {
                            Endpoint endpoint = endpoints.byTag(tag);
                            if (endpoint != null) {
                                apply(item, endpoint);
                            }
                        });
    }

    private void apply(Item item, Endpoint endpoint) {
        long now = context.now();
        int keys = TrackedRequest.classTenantKey(context.settings().classes().size(), 0);
        boolean ejects = ejects(item, endpoint);
        if (item.kind() == GossipCodec.DELAY) {
            endpoint.queueingDelay.set(item.value() * (double) MICROS_PER_MILLI, now);
        } else if (ejects) {
            outliers.ejectOnGossip(endpoint);
        } else if (item.kind() == GossipCodec.RECOVERED
                && endpoint.health.ejected
                && isOwnZone(item)) {
            outliers.reinstateOnGossip(endpoint);
        } else if (item.kind() == GossipCodec.FULL && item.classTenantKey() < keys) {
            endpoint.backoffUntil.put(item.classTenantKey(), now + item.value() * MICROS_PER_MILLI);
        }
    }

    /**
     * Returns whether an item ejects its endpoint, and counts the failure that it reports. Failures
     * reported by other routers count only while this router's own requests are sparse, and only as
     * far as they are recent and exceed those of the endpoint's peers.
     */
    private boolean ejects(Item item, Endpoint endpoint) {
        if (endpoint.health.ejected) {
            return false;
        }
        if (item.kind() == GossipCodec.UNREACHABLE) {
            return isOwnZone(item);
        }
        if (item.kind() != GossipCodec.FAILED || arrivals.isDense()) {
            return false;
        }
        long now = context.now();
        double failures = endpoint.health.gossipedFailures.increment(now);
        double median = outliers.median(endpoint, health -> health.gossipedFailures.valueAt(now));
        return failures > EJECTION_THRESHOLD + OutlierDetector.MAX_LATENCY_RATIO * median;
    }

    private boolean isOwnZone(Item item) {
        return item.value() == context.settings().zone();
    }
}
