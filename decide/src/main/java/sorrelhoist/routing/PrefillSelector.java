package sorrelhoist.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import sorrelhoist.routing.Reason.Kind;

/**
 * Selects the prefill endpoint of a request. Candidates are the endpoints that likely have more
 * than half of the prompt cached, or else all endpoints; the cheapest by load, evictions and
 * uncached tokens is selected. A prompt whose session and prefix are unknown is placed by hash.
 */
final class PrefillSelector {
    /** Maximum ratio between two loads, or between two completion times. */
    private static final double MAX_IMBALANCE = 2;

    /**
     * Minimum number of this router's sends per endpoint within the load window for loads to be
     * compared.
     */
    private static final int MIN_SENDS_PER_ENDPOINT = 3;

    /**
     * Expected holders of a prefix, per endpoint that the prefix's share of arrivals would fill.
     */
    private static final double HOLDERS_PER_FULL_ENDPOINT = 3;

    private final RoutingContext context;
    private final ArrivalRate arrivals;
    private final PrefixTable prefixes;
    private final ServiceTimes serviceTimes;
    private final CompletionEstimator completions;

    PrefillSelector(
            RoutingContext context,
            ArrivalRate arrivals,
            PrefixTable prefixes,
            ServiceTimes serviceTimes,
            CompletionEstimator completions) {
        this.context = context;
        this.arrivals = arrivals;
        this.prefixes = prefixes;
        this.serviceTimes = serviceTimes;
        this.completions = completions;
    }

    /** {@return one of the candidates; the list must not be empty} */
    Selection select(TrackedRequest request, List<Endpoint> candidates) {
        candidates.forEach(endpoint -> endpoint.history.refreshLoad(context.now()));
        int sends = candidates.stream().mapToInt(endpoint -> endpoint.history.size()).sum();
        boolean loadsKnown = sends >= MIN_SENDS_PER_ENDPOINT * candidates.size();
        CachedPrefix session = prefixes.find(request.session());
        CachedPrefix prefix = prefixes.find(request.prefix());
        if (prefix != null && !loadsKnown) {
            markExpectedHolders(prefix, request, candidates);
        }
        for (CachedPrefix entry : new CachedPrefix[] {session, prefix}) {
            List<Endpoint> holders =
                    Endpoints.preferring(candidates, endpoint -> hasMost(entry, endpoint, request));
            if (hasMost(entry, holders.get(0), request)) {
                Endpoint chosen = cheapest(holders, request, session, prefix);
                Endpoint selected = loadsKnown ? rebalanced(chosen, candidates) : chosen;
                Kind kind = selected == chosen ? Kind.KEPT : Kind.SHIFTED;
                return avoidCongestion(selected, kind, request, candidates);
            }
        }
        if (prefix == null && session == null) {
            String key = request.prefix() != null ? request.prefix() : request.tieBreakKey();
            return avoidCongestion(
                    Endpoints.byHash(key, candidates), Kind.UNSEEN, request, candidates);
        }
        Endpoint chosen = cheapest(candidates, request, session, prefix);
        return avoidCongestion(chosen, Kind.CHEAPEST, request, candidates);
    }

    private boolean hasMost(CachedPrefix entry, Endpoint endpoint, TrackedRequest request) {
        return 2 * prefixes.cachedTokens(entry, endpoint, request) > request.promptTokens();
    }

    /**
     * Exception while this router has sent too little to compare loads: marks the likely holders of
     * a prefix. These are the first endpoints by hash, as many as the prefix's share of arrivals
     * would fill. This keeps many routers from sending one prefix to the same endpoint. Drawback: a
     * prompt is prefilled and cached more often.
     */
    private void markExpectedHolders(
            CachedPrefix prefix, TrackedRequest request, List<Endpoint> candidates) {
        double filled =
                HOLDERS_PER_FULL_ENDPOINT
                        * prefix.uses
                        / (arrivals.arrivals() + 1)
                        * candidates.size();
        int expected = (int) Math.min(candidates.size(), 1 + filled);
        if (prefix.expectedHolders < expected) {
            prefix.expectedHolders = expected;
            List<Endpoint> ranked = new ArrayList<>(candidates);
            ranked.sort(Comparator.comparingLong(endpoint -> -Hash.of(prefix.name, endpoint.id)));
            long tokens = request.arrival.prefixTokens();
            ranked.subList(0, expected)
                    .forEach(endpoint -> prefixes.addHolder(request.prefix(), tokens, endpoint));
        }
    }

    private Endpoint cheapest(
            List<Endpoint> candidates,
            TrackedRequest request,
            CachedPrefix session,
            CachedPrefix prefix) {
        Endpoint best = null;
        double lowest = Double.MAX_VALUE;
        for (Endpoint endpoint : candidates) {
            long cached =
                    Math.max(
                            prefixes.cachedTokens(session, endpoint, request),
                            prefixes.cachedTokens(prefix, endpoint, request));
            double cost = cost(endpoint, request.promptTokens() - cached);
            boolean wins = best == null || cost < lowest;
            if (wins || cost == lowest && Endpoints.winsTie(request, endpoint, best)) {
                lowest = cost;
                best = endpoint;
            }
        }
        return best;
    }

    private double cost(Endpoint endpoint, long missedTokens) {
        return endpoint.history.refreshLoad(context.now())
                + prefixes.evictionCost(endpoint, missedTokens)
                + serviceTimes.prefillMicros(endpoint, missedTokens);
    }

    /**
     * Moves a prefill from the endpoint with the highest load to the one with the lowest if their
     * loads differ by too much.
     */
    private Endpoint rebalanced(Endpoint chosen, List<Endpoint> candidates) {
        Endpoint lightest =
                Collections.min(
                        candidates,
                        Comparator.comparingDouble(endpoint -> endpoint.history.load()));
        double heaviest =
                candidates.stream()
                        .mapToDouble(endpoint -> endpoint.history.load())
                        .max()
                        .orElse(0);
        double load = chosen.history.load();
        double bound =
                MAX_IMBALANCE * lightest.history.load() + serviceTimes.meanPrefillMicros(chosen);
        return load >= heaviest && load > bound ? lightest : chosen;
    }

    /**
     * Exception for congestion: replaces the selected endpoint by the one with the earliest
     * completion. It applies if the completion at the selected endpoint, with its attempts in
     * flight and its queueing delay, is later than twice the earliest completion plus one mean
     * prefill. This avoids congestion that this router's own loads do not show: a hot prefix, a
     * slow or hanging endpoint, or traffic from other routers. Drawback: a prompt is prefilled and
     * cached twice.
     */
    private Selection avoidCongestion(
            Endpoint chosen, Kind kind, TrackedRequest request, List<Endpoint> candidates) {
        candidates.forEach(
                endpoint -> endpoint.estimatedDelay = completions.completion(endpoint, request));
        List<Endpoint> soonest =
                candidates.stream()
                        .sorted(
                                Comparator.<Endpoint>comparingDouble(
                                                endpoint -> endpoint.estimatedDelay)
                                        .thenComparing(
                                                (a, b) ->
                                                        Endpoints.winsTie(request, a, b) ? -1 : 1))
                        .limit(2)
                        .toList();
        double bound = chosen.estimatedDelay - serviceTimes.meanPrefillMicros(chosen);
        boolean congested = MAX_IMBALANCE * soonest.get(0).estimatedDelay < bound;
        Endpoint selected = congested ? soonest.get(0) : chosen;
        Endpoint runnerUp =
                soonest.stream().filter(endpoint -> endpoint != selected).findFirst().orElse(null);
        return new Selection(
                selected,
                congested ? Kind.UNJAMMED : kind,
                selected.estimatedDelay,
                runnerUp,
                runnerUp == null ? Double.MAX_VALUE : runnerUp.estimatedDelay);
    }
}
