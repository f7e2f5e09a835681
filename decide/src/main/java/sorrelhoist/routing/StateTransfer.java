package sorrelhoist.routing;

import java.util.ArrayList;
import java.util.List;
import sorrelhoist.routing.Knowledge.PrefixEntry;
import sorrelhoist.routing.Knowledge.PrefixHolder;
import sorrelhoist.routing.Knowledge.RegressionSums;
import sorrelhoist.routing.Knowledge.ServerHealth;

/**
 * Exports a router's knowledge for the same router after a restart or for another router, and
 * imports it.
 */
final class StateTransfer {
    /**
     * Time constant of the trust in imported knowledge: it decays to 1/e, about a third, at this
     * age.
     */
    private static final double TRUST_DECAY_MICROS = 600_000_000;

    /**
     * Maximum imported failure rate: one failure of this router's own attempts then ejects the
     * endpoint.
     */
    private static final double MAX_IMPORTED_FAILURE_RATE = 0.4;

    private static final double MIN_IMPORTED_LATENCY_RATIO = 0.1;

    /**
     * Maximum weight of an imported regression, in samples; about fifty samples of this router's
     * own outweigh it.
     */
    private static final double MAX_IMPORTED_SAMPLES = 10;

    private final EndpointTable endpoints;
    private final PrefixTable prefixes;
    private final ServiceTimes serviceTimes;

    StateTransfer(EndpointTable endpoints, PrefixTable prefixes, ServiceTimes serviceTimes) {
        this.endpoints = endpoints;
        this.prefixes = prefixes;
        this.serviceTimes = serviceTimes;
    }

    /**
     * {@return the knowledge from this router's own observations, with at most a number of the most
     * recently used prefixes}
     */
    Knowledge exportKnowledge(long time, int maxPrefixes) {
        List<PrefixEntry> recent =
                prefixes.entries().stream()
                        .skip(Math.max(0, prefixes.size() - maxPrefixes))
                        .map(entry -> exportPrefix(entry, time))
                        .toList();
        // Health reported by peers is not exported: passed on in a circle, it would look like
        // evidence.
        List<ServerHealth> health =
                endpoints.all().stream()
                        .filter(e -> !e.health.reportedByPeers && e.health.isKnown())
                        .map(StateTransfer::exportHealth)
                        .toList();
        List<RegressionSums> prefills =
                serviceTimes.prefills().stream().map(DecayedRegression::sums).toList();
        return new Knowledge(recent, health, prefills, serviceTimes.firstTokens().sums());
    }

    private PrefixEntry exportPrefix(CachedPrefix entry, long time) {
        List<PrefixHolder> holders = new ArrayList<>();
        entry.holders.forEach(
                (id, holder) -> {
                    Endpoint endpoint = endpoints.byId(id);
                    long since = endpoint == null ? 0 : endpoint.since;
                    holders.add(new PrefixHolder(id, since, holder.tokens));
                });
        long age = Math.max(0, time - entry.lastUsedAt);
        return new PrefixEntry(entry.name, age, entry.uses, holders);
    }

    private static ServerHealth exportHealth(Endpoint endpoint) {
        EndpointHealth health = endpoint.health;
        return new ServerHealth(
                endpoint.id,
                endpoint.since,
                health.failureRate,
                health.latencyRatio,
                health.latencySamples);
    }

    /**
     * Imports knowledge that was exported {@code ageMicros} ago. It does not replace this router's
     * own observations. Old entries and those of replaced processes are skipped. All of it is a
     * hint: if it is false, it costs cache locality or a retry but breaks no rule, as no endpoint
     * becomes a candidate by it and none is ejected.
     */
    void importKnowledge(long time, Knowledge imported, long ageMicros) {
        double trust = Math.exp(-ageMicros / TRUST_DECAY_MICROS);
        imported.keys().forEach(entry -> importPrefix(entry, time, ageMicros));
        imported.servers().forEach(health -> importHealth(health, trust));
        List<DecayedRegression> prefills = serviceTimes.prefills();
        int kinds = Math.min(prefills.size(), imported.prefillTimes().size());
        for (int kind = 0; kind < kinds; kind++) {
            importRegression(prefills.get(kind), imported.prefillTimes().get(kind), trust);
        }
        importRegression(serviceTimes.firstTokens(), imported.firstTokenTimes(), trust);
    }

    private void importPrefix(PrefixEntry imported, long time, long ageMicros) {
        long lastUsedAt = time - ageMicros - imported.ageMicros();
        boolean recent =
                lastUsedAt > time - PrefixTable.MAX_IDLE_MICROS && imported.ageMicros() >= 0;
        boolean fits = prefixes.size() < PrefixTable.MAX_ENTRIES;
        if (!recent || !fits || prefixes.contains(imported.name())) {
            return;
        }
        CachedPrefix entry = new CachedPrefix(imported.name());
        entry.lastUsedAt = lastUsedAt;
        entry.uses = Math.max(0, imported.uses());
        for (PrefixHolder holder : imported.holders()) {
            if (holder.tokens() > 0 && endpoints.isSameProcess(holder.server(), holder.since())) {
                entry.holders.put(holder.server(), new CachedPrefix.Holder(holder.tokens()));
            }
        }
        prefixes.insert(entry);
    }

    private void importHealth(ServerHealth imported, double trust) {
        Endpoint endpoint = endpoints.byId(imported.id());
        boolean applicable =
                endpoint != null
                        && !endpoint.health.isKnown()
                        && imported.isValid()
                        && endpoint.since == imported.since();
        if (applicable) {
            EndpointHealth health = endpoint.health;
            double failureRate = clamp(imported.failureRate(), 0, MAX_IMPORTED_FAILURE_RATE);
            double latencyRatio =
                    clamp(
                            imported.latencyRatio(),
                            MIN_IMPORTED_LATENCY_RATIO,
                            OutlierDetector.MAX_LATENCY_RATIO);
            health.reportedByPeers = true;
            health.failureRate = trust * failureRate;
            health.latencyRatio = 1 + trust * (latencyRatio - 1);
        }
    }

    private static double clamp(double value, double low, double high) {
        return Math.max(low, Math.min(high, value));
    }

    private static void importRegression(
            DecayedRegression own, RegressionSums imported, double trust) {
        double samples = trust * Math.min(MAX_IMPORTED_SAMPLES, imported.weight());
        if (imported.isValid() && samples > own.weight()) {
            own.adopt(imported, samples);
        }
    }
}
