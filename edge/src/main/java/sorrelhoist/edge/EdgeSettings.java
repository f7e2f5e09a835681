package sorrelhoist.edge;

import java.util.List;
import sorrelhoist.core.request.RequestTimeouts;
import sorrelhoist.core.request.RouterIdentity;
import sorrelhoist.core.request.RouterSettings;
import sorrelhoist.core.request.StreamSettings;
import sorrelhoist.core.reservation.ReleaseReach;
import sorrelhoist.routing.Routing;

/**
 * What an edge is told at its start.
 *
 * @param name its name, the same after a restart
 * @param zone where it stands; one of zones
 * @param zones all zones, in the same order at every edge
 * @param port to listen on; 0 for one that the system picks
 * @param planner the planner's address
 * @param model the model's name, as clients ask for it
 * @param routers edges that the deployment is to have
 * @param classes request classes, the first for those that name none
 * @param tenants tenants, the first for those that name none; may be empty
 * @param kinds kinds of engines
 * @param limits what is permitted
 * @param rules the rules' figures
 * @param serving how clients and engines are served
 * @param traceShare share of requests whose spans are logged, 0 for none; clients that sample
 *     decide for theirs
 * @param pastFolder where it keeps what it knows for its next life; empty for nowhere
 * @param teachKeys secrets with which edges teach each other, the signing one first; empty for no
 *     teaching
 * @param record where and how much of its decisions it records
 * @param seed of all randomness
 */
public record EdgeSettings(
        String name,
        String zone,
        List<String> zones,
        int port,
        String planner,
        String model,
        int routers,
        List<ClassSettings> classes,
        List<TenantSettings> tenants,
        List<KindSettings> kinds,
        LimitSettings limits,
        RuleSettings rules,
        ServingSettings serving,
        double traceShare,
        String pastFolder,
        List<KeySettings> teachKeys,
        RecordSettings record,
        long seed) {
    /**
     * The record of decisions.
     *
     * @param folder where it lies, one for each edge; empty for none
     * @param megabytes of what is not kept: the window that is always there
     * @param minutes after which what is not kept is let go
     * @param keptMegabytes of what is kept, because a rule was in danger or somebody asked; the
     *     oldest goes
     */
    public record RecordSettings(String folder, int megabytes, int minutes, int keptMegabytes) {}

    /**
     * A secret that edges share.
     *
     * @param id its name
     * @param secret 16 bytes or more
     */
    public record KeySettings(String id, String secret) {}

    /**
     * A request class.
     *
     * @param name its name
     * @param aimMs a first token within this time earns full worth
     * @param aimMsPer1000 added for each 1,000 prompt tokens
     * @param deadlineMs until the first token, where the client did not say
     * @param deadlineMsPer1000 added for each 1,000 prompt tokens
     * @param worth of one request, compared between classes
     * @param repeat safe, keyed or unsafe
     * @param scope for keyed classes: the engines that drop repeats: all, zone or cell
     * @param repeatWindowMs for keyed classes: how long
     */
    public record ClassSettings(
            String name,
            long aimMs,
            long aimMsPer1000,
            long deadlineMs,
            long deadlineMsPer1000,
            double worth,
            String repeat,
            String scope,
            long repeatWindowMs) {}

    /**
     * A tenant.
     *
     * @param name its name
     * @param perSecond requests a second within its share, over all edges
     */
    public record TenantSettings(String name, double perSecond) {}

    /**
     * A kind of engine.
     *
     * @param name its name, as engines register with it
     * @param role read, write or both
     * @param memoryTokens memory, in tokens
     */
    public record KindSettings(String name, String role, long memoryTokens) {}

    /**
     * What is permitted.
     *
     * @param maxAttempts sends a request may have
     * @param cancel whether attempts may be cancelled
     * @param probes whether engines may be probed
     * @param backoffHints whether clients are told when to come back
     * @param maxBackoffMs the longest hint that a client heeds
     * @param writersRead whether a writer reads the prompt itself when it finds no state
     * @param tells whether edges may tell each other
     * @param probePrice points for one probe a request
     * @param tellPrice points for 256 delivered bytes a request
     * @param reports how load reports come: none, outcomes or probes
     * @param overShareWorth worth of a tenant's requests beyond its share, 0 to 1
     */
    public record LimitSettings(
            int maxAttempts,
            boolean cancel,
            boolean probes,
            boolean backoffHints,
            long maxBackoffMs,
            boolean writersRead,
            boolean tells,
            double probePrice,
            double tellPrice,
            String reports,
            double overShareWorth) {}

    /**
     * The rules' figures.
     *
     * @param coldFrom share of its work that a started engine can do
     * @param coldMs until it is warm
     * @param fallMultiple sent more than this multiple of what it can do
     * @param fallMs for this long, it falls over
     * @param releaseMs a held state is taken or let go within this time
     */
    public record RuleSettings(
            double coldFrom, long coldMs, double fallMultiple, long fallMs, long releaseMs) {}

    /**
     * How clients and engines are served.
     *
     * @param marginMs by how much answers come before a client's time is up
     * @param resumes whether broken streams go on elsewhere
     * @param stallMs how long a client may take nothing of a running answer
     * @param maxOpen requests open at once
     * @param defaultMaxTokens answered at most, where a client did not say
     * @param mostMaxTokens that a client may ask for
     * @param maxPromptBytes that a prompt may have
     * @param threads for the network
     * @param connectionsPerEngine open at once
     * @param dialMs until a connection has failed
     * @param idleMs after which an idle one is closed
     * @param streamsPerConnection that a client may have open on one connection
     * @param drainMs for running answers when the edge is stopped
     */
    public record ServingSettings(
            long marginMs,
            boolean resumes,
            long stallMs,
            int maxOpen,
            int defaultMaxTokens,
            int mostMaxTokens,
            int maxPromptBytes,
            int threads,
            int connectionsPerEngine,
            long dialMs,
            long idleMs,
            int streamsPerConnection,
            long drainMs) {}

    /** {@return the same for the decisions} */
    public RouterSettings router(long incarnation) {
        Routing.RoutingSettings decide =
                new Routing.RoutingSettings(
                        routers,
                        0,
                        zones.indexOf(zone),
                        false,
                        limits.overShareWorth(),
                        switch (limits.reports()) {
                            case "outcomes" -> Routing.LoadReportMode.IN_OUTCOMES;
                            case "probes" -> Routing.LoadReportMode.IN_PROBES;
                            default -> Routing.LoadReportMode.NONE;
                        },
                        classes.stream()
                                .map(
                                        c ->
                                                new Routing.RequestClass(
                                                        c.aimMs() * 1000,
                                                        c.aimMsPer1000() * 1000,
                                                        c.worth(),
                                                        Routing.Idempotency.valueOf(
                                                                upper(c.repeat())),
                                                        Routing.IdempotencyScope.valueOf(
                                                                upper(c.scope())),
                                                        c.repeatWindowMs() * 1000))
                                .toList(),
                        tenants.stream().map(t -> new Routing.Tenant(t.perSecond())).toList(),
                        kinds.stream()
                                .map(
                                        k ->
                                                new Routing.ServerKind(
                                                        Routing.Role.valueOf(upper(k.role())),
                                                        k.memoryTokens()))
                                .toList(),
                        new Routing.Capabilities(
                                limits.maxAttempts(),
                                limits.cancel(),
                                limits.probes(),
                                limits.backoffHints(),
                                limits.maxBackoffMs() * 1000,
                                limits.writersRead(),
                                limits.tells(),
                                limits.probePrice(),
                                limits.tellPrice()),
                        new Routing.ServerLimits(
                                rules.coldFrom(),
                                rules.coldMs() * 1000,
                                rules.fallMultiple(),
                                rules.fallMs() * 1000,
                                rules.releaseMs() * 1000));
        return new RouterSettings(
                new RouterIdentity(name, incarnation),
                decide,
                new RequestTimeouts(
                        classes.stream().map(c -> c.deadlineMs() * 1000).toList(),
                        classes.stream().map(c -> c.deadlineMsPer1000() * 1000).toList(),
                        serving.marginMs() * 1000),
                StreamSettings.ofTokens(serving.resumes(), serving.stallMs() * 1000),
                serving.maxOpen(),
                ReleaseReach.HOLDER,
                seed ^ incarnation);
    }

    private static String upper(String word) {
        return word.toUpperCase(java.util.Locale.ROOT);
    }
}
