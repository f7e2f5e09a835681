package sorrelhoist.edge;

import java.util.List;
import sorrelhoist.core.request.RouterSettings;

/**
 * An edge's settings. The names of the components are the keys of the settings file; a name that
 * ends in Ms is a time in milliseconds.
 *
 * @param name the edge's name, which stays the same after a restart
 * @param zone the zone that the edge runs in; one of zones
 * @param zones all zones, in the same order at every edge
 * @param port the port to listen on; 0 for one that the operating system picks
 * @param planner the planner's address
 * @param model the model's name in clients' requests
 * @param routers the number of edges that the deployment is to have
 * @param classes request classes; the first is the default for requests that name none
 * @param tenants tenants; the first is the default for requests that name none; may be empty
 * @param kinds the kinds of engines, distinguished by role and memory
 * @param limits the actions that the router may take
 * @param rules the engines' physical limits
 * @param serving limits and timeouts of the connections to clients and engines
 * @param traceShare share of requests whose spans are logged, 0 for none; a client's own sampling
 *     decision takes precedence
 * @param pastFolder the directory in which the edge persists its knowledge for its next
 *     incarnation; empty to persist nothing
 * @param teachKeys the secrets that authenticate state transfers between edges; the first one
 *     signs; empty for no state transfer
 * @param record directory and limits of the decision record
 * @param seed the seed of all random numbers
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
     * Directory and limits of the record of decisions.
     *
     * @param folder the record's directory, which no other edge may use; empty for no record
     * @param megabytes the maximum size of the files that are not preserved: the window of the
     *     latest decisions
     * @param minutes the age after which files that are not preserved are deleted
     * @param keptMegabytes the maximum size of the files that are preserved after an anomaly or on
     *     request; the oldest are deleted first
     */
    public record RecordSettings(String folder, int megabytes, int minutes, int keptMegabytes) {}

    /**
     * A secret that the edges share.
     *
     * @param id the id by which messages name the secret
     * @param secret the secret, 16 bytes or more
     */
    public record KeySettings(String id, String secret) {}

    /**
     * A request class.
     *
     * @param name the class's name, which requests give
     * @param aimMs the latency objective: a first token within this time earns the full weight
     * @param aimMsPer1000 added to the objective for each 1,000 prompt tokens
     * @param deadlineMs the deadline of the first token for requests without a client timeout
     * @param deadlineMsPer1000 added to the deadline for each 1,000 prompt tokens
     * @param worth the priority weight of one request, relative to other classes
     * @param repeat the idempotency of requests: safe, keyed (idempotent with a key) or unsafe
     * @param scope for keyed classes, the engines that recognize repeated requests: all, zone or
     *     cell
     * @param repeatWindowMs for keyed classes, how long engines recognize repeated requests
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
     * @param name the tenant's name, which requests give
     * @param perSecond the tenant's quota, in requests per second over all edges
     */
    public record TenantSettings(String name, double perSecond) {}

    /**
     * A kind of engine.
     *
     * @param name the kind's name, as engines register it
     * @param role read (prefill), write (decode) or both
     * @param memoryTokens the memory of an engine, in tokens
     */
    public record KindSettings(String name, String role, long memoryTokens) {}

    /**
     * The actions that the router may take, and their costs.
     *
     * @param maxAttempts the maximum number of attempts of a request
     * @param cancel whether attempts may be cancelled
     * @param probes whether engines may be probed
     * @param backoffHints whether rejections tell clients when to retry
     * @param maxBackoffMs the longest retry delay that clients respect
     * @param writersRead whether a decode engine may run the prefill itself if it has no prefill
     *     state
     * @param tells whether edges may send gossip messages to each other
     * @param probePrice the cost of one probe per request, in points
     * @param tellPrice the cost of 256 bytes of gossip per request, in points
     * @param reports the source of load reports: none, outcomes or probes
     * @param overShareWorth the weight of a tenant's requests beyond its quota, 0 to 1
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
     * The engines' physical limits, which the router must not exceed.
     *
     * @param coldFrom the share of its capacity that an engine has when it starts
     * @param coldMs the time from start until an engine has warmed up
     * @param fallMultiple the load, as a multiple of its capacity, above which an engine crashes
     * @param fallMs how long the load has to exceed that multiple until the engine crashes
     * @param releaseMs the time within which a reserved prefill state has to be fetched or released
     */
    public record RuleSettings(
            double coldFrom, long coldMs, double fallMultiple, long fallMs, long releaseMs) {}

    /**
     * Limits and timeouts of the connections to clients and engines.
     *
     * @param marginMs the margin before a client's deadline by which responses have to arrive
     * @param resumes whether broken streams are resumed at another engine
     * @param stallMs how long a client may read nothing of a running response
     * @param maxOpen the maximum number of open requests
     * @param defaultMaxTokens the maximum number of output tokens for requests that give none
     * @param mostMaxTokens the largest number of output tokens that a client may request
     * @param maxPromptBytes the maximum size of a prompt, in bytes
     * @param threads the number of network threads
     * @param connectionsPerEngine the maximum number of open connections to an engine
     * @param dialMs the timeout for establishing a connection to an engine
     * @param idleMs the time after which an idle connection to an engine is closed
     * @param streamsPerConnection the maximum number of open streams on a client's connection
     * @param drainMs the time that running responses get to finish when the edge is stopped
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
     * Returns the settings of this edge's router.
     *
     * @param incarnation the edge's incarnation, which grows with every start
     */
    public RouterSettings router(long incarnation) {
        return RouterSettingsFactory.create(this, incarnation);
    }
}
