package sorrelhoist.edge;

import java.util.List;
import sorrelhoist.core.request.RouterSettings;

/**
 * An edge's settings, as its settings file holds them: the names of the components are the keys.
 * Times end in Ms, for milliseconds.
 *
 * @param name its name, the same after a restart
 * @param zone the zone that it runs in; one of zones
 * @param zones all zones, in the same order at every edge
 * @param port to listen on; 0 for one that the system picks
 * @param planner the planner's address
 * @param model the model's name, as clients ask for it
 * @param routers edges that the deployment is to have
 * @param classes request classes, the first for those that name none
 * @param tenants tenants, the first for those that name none; may be empty
 * @param kinds kinds of engines
 * @param limits what the router may do
 * @param rules the engines' physical limits
 * @param serving how clients and engines are served
 * @param traceShare share of requests whose spans are logged, 0 for none; clients that sample
 *     decide for theirs
 * @param pastFolder where it persists what it knows for its next incarnation; empty for nowhere
 * @param teachKeys secrets with which edges sign state transfers, the signing one first; empty for
 *     no state transfer
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
     * @param megabytes of what is not preserved: the window that is always there
     * @param minutes after which what is not preserved is deleted
     * @param keptMegabytes of what is preserved, after an anomaly or on request; the oldest is
     *     deleted first
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
     * @param aimMs latency objective: a first token within this time earns the full weight
     * @param aimMsPer1000 added for each 1,000 prompt tokens
     * @param deadlineMs until the first token, where the client did not say
     * @param deadlineMsPer1000 added for each 1,000 prompt tokens
     * @param worth priority weight of one request, compared between classes
     * @param repeat idempotency: safe, keyed (idempotent with a key) or unsafe
     * @param scope for keyed classes: the engines that recognize repeats: all, zone or cell
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
     * @param perSecond its quota, in requests a second over all edges
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
     * What the router may do.
     *
     * @param maxAttempts attempts that a request may have
     * @param cancel whether attempts may be cancelled
     * @param probes whether engines may be probed
     * @param backoffHints whether clients are told when to retry
     * @param maxBackoffMs the longest hint that a client heeds
     * @param writersRead whether a decode engine prefills itself when it finds no state
     * @param tells whether edges may gossip
     * @param probePrice cost of one probe a request, in points
     * @param tellPrice cost of 256 gossiped bytes a request, in points
     * @param reports how load reports come: none, outcomes or probes
     * @param overShareWorth weight of a tenant's requests beyond its quota, 0 to 1
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
     * The engines' physical limits, within which the router has to stay.
     *
     * @param coldFrom share of its capacity that an engine has as it starts
     * @param coldMs until it is warmed up
     * @param fallMultiple an engine that is sent more than this multiple of its capacity
     * @param fallMs for this long, crashes
     * @param releaseMs a reserved prefill state is fetched or released within this time
     */
    public record RuleSettings(
            double coldFrom, long coldMs, double fallMultiple, long fallMs, long releaseMs) {}

    /**
     * How clients and engines are served.
     *
     * @param marginMs by how much answers come before a client's time is up
     * @param resumes whether broken streams are resumed at another engine
     * @param stallMs how long a client may read nothing of a running answer
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

    /**
     * {@return the settings of this edge's router}
     *
     * @param incarnation grows with every start
     */
    public RouterSettings router(long incarnation) {
        return RouterSettingsFactory.create(this, incarnation);
    }
}
