package sorrelhoist.routing;

import java.util.List;
import java.util.SplittableRandom;
import sorrelhoist.routing.Reason.Kind;

/** Selects the decode endpoint by the power of two random choices. */
final class DecodeSelector {
    /**
     * Delay beyond that of the best endpoint above which an endpoint is avoided, in microseconds.
     */
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
     * Draws two endpoints at random and selects the one with fewer of this router's tokens in
     * flight. They are drawn from the cell of the prefill, or else from its zone, or else from all
     * candidates. The part of the cell's prefills that exceeds its decode capacity is decoded in
     * cells of the zone with spare decode capacity, unless the link out of the cell is slow.
     *
     * <p>Exceptions are endpoints whose delay exceeds the lowest one by too much, for example
     * because a first token is long overdue. They are avoided, as the tokens in flight do not show
     * that an endpoint is full, slow or hanging. Drawback: the state may have to cross cells.
     *
     * @return the selection, or null if there are no candidates
     */
    Selection select(Endpoint prefilledAt, List<Endpoint> candidates) {
        int cell = prefilledAt.cell;
        double linkDelay = delays.ofLinkFrom(cell);
        double lowest = Double.MAX_VALUE;
        for (Endpoint endpoint : candidates) {
            endpoint.estimatedDelay =
                    delays.ofEndpoint(endpoint) + (endpoint.cell == cell ? 0 : linkDelay);
            lowest = Math.min(lowest, endpoint.estimatedDelay);
        }
        double bound = lowest + MAX_EXCESS_DELAY_MICROS;
        List<Endpoint> responsive =
                Endpoints.preferring(candidates, endpoint -> endpoint.estimatedDelay <= bound);
        List<Endpoint> inZone =
                Endpoints.preferring(responsive, endpoint -> endpoint.zone == prefilledAt.zone);
        boolean leavesCell =
                context.random().nextDouble() < endpoints.decodeSpilloverOf(cell)
                        && linkDelay < MAX_EXCESS_DELAY_MICROS;
        return lighterOfTwo(
                leavesCell
                        ? Endpoints.preferring(
                                inZone, endpoint -> endpoints.decodeSpilloverOf(endpoint.cell) < 0)
                        : Endpoints.preferring(inZone, endpoint -> endpoint.cell == cell));
    }

    /**
     * {@return the one with fewer of this router's tokens in flight, of two endpoints drawn at
     * random; null for an empty list}
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
     * Decides whether a request is sent to a mixed endpoint: never if there are no mixed
     * candidates, always if prefill or decode candidates are missing, otherwise by a random draw.
     * The probability is the share of the mixed endpoints in the total size of mixed, prefill and
     * decode endpoints.
     */
    boolean goesToMixed(List<Endpoint> prefill, List<Endpoint> decode, List<Endpoint> mixed) {
        double mixedSize = Endpoints.totalSize(mixed);
        double total = mixedSize + Endpoints.totalSize(prefill) + Endpoints.totalSize(decode);
        double draw = context.random().nextDouble() * total;
        return !mixed.isEmpty() && (prefill.isEmpty() || decode.isEmpty() || draw < mixedSize);
    }
}
