package sorrelhoist.routing;

import java.util.List;
import java.util.SplittableRandom;
import sorrelhoist.routing.Reason.Kind;

/** Chooses the endpoint that writes an answer by the power of two random choices. */
final class DecodeSelector {
    /** Delay behind the best endpoint from which an endpoint is passed over, in microseconds. */
    private static final double MAX_EXCESS_DELAY_MICROS = 200_000;

    private final RoutingContext context;
    private final EndpointTable endpoints;
    private final QueueingDelays delays;

    DecodeSelector(RoutingContext context, EndpointTable endpoints, QueueingDelays delays) {
        this.context = context;
        this.endpoints = endpoints;
        this.delays = delays;
    }

    /**
     * Draws two in the cell of the prefill, else its zone, else all; fewer own tokens in flight
     * win. Exception: an endpoint where a first token is long overdue is passed over. Guards
     * against a full, slow or hanging one that tokens do not show; harm: the state crosses cells.
     *
     * @return null where there is no candidate
     */
    Selection select(Endpoint prefilledAt, List<Endpoint> candidates) {
        int cell = prefilledAt.cell;
        double linkDelay = delays.ofLinkFrom(cell);
        double lowest = Double.MAX_VALUE;
        for (Endpoint endpoint : candidates) {
            endpoint.estimatedDelay = delays.at(endpoint) + (endpoint.cell == cell ? 0 : linkDelay);
            lowest = Math.min(lowest, endpoint.estimatedDelay);
        }
        double bound = lowest + MAX_EXCESS_DELAY_MICROS;
        List<Endpoint> prompt =
                Endpoints.preferring(candidates, endpoint -> endpoint.estimatedDelay <= bound);
        List<Endpoint> inZone =
                Endpoints.preferring(prompt, endpoint -> endpoint.zone == prefilledAt.zone);
        boolean spills =
                context.random().nextDouble() < endpoints.spillOf(cell)
                        && linkDelay < MAX_EXCESS_DELAY_MICROS;
        return lighterOfTwo(
                spills
                        ? Endpoints.preferring(
                                inZone, endpoint -> endpoints.spillOf(endpoint.cell) < 0)
                        : Endpoints.preferring(inZone, endpoint -> endpoint.cell == cell));
    }

    /**
     * {@return the one of two drawn endpoints with fewer own tokens in flight; null for an empty
     * list}
     */
    Selection lighterOfTwo(List<Endpoint> candidates) {
        if (candidates.isEmpty()) {
            return null;
        }
        SplittableRandom random = context.random();
        Endpoint first = candidates.get(random.nextInt(candidates.size()));
        Endpoint second = candidates.get(random.nextInt(candidates.size()));
        long firstTokens = first.inFlight.tokens();
        long secondTokens = second.inFlight.tokens();
        Endpoint lighter = secondTokens < firstTokens ? second : first;
        Endpoint heavier = lighter == first ? second : first;
        return new Selection(
                lighter,
                Kind.TWO_DRAWS,
                Math.min(firstTokens, secondTokens),
                second == first ? null : heavier,
                Math.max(firstTokens, secondTokens));
    }

    /**
     * Draws whether mixed endpoints take a request: their share of the whole size, prefill and
     * decode.
     */
    boolean goesToMixed(List<Endpoint> prefill, List<Endpoint> decode, List<Endpoint> mixed) {
        double mixedSize = Endpoints.totalSize(mixed);
        double total = mixedSize + Endpoints.totalSize(prefill) + Endpoints.totalSize(decode);
        double draw = context.random().nextDouble() * total;
        return !mixed.isEmpty() && (prefill.isEmpty() || decode.isEmpty() || draw < mixedSize);
    }
}
