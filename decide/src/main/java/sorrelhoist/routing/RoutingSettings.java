package sorrelhoist.routing;

import java.util.List;
import sorrelhoist.routing.RoutingActions.Cancel;
import sorrelhoist.routing.RoutingActions.Probe;
import sorrelhoist.routing.RoutingActions.Tell;

/**
 * The settings that a router gets at start.
 *
 * @param routers number of routers that share the servers, including this one
 * @param self this router's number, from 0
 * @param zone this router's zone
 * @param subscribesToDiscovery true if list changes are sent only to subscribers
 * @param overQuotaPriorityWeight priority weight of a tenant's requests over its quota, as a share
 *     of the class's weight
 * @param loadReportMode how load reports are delivered
 * @param classes request classes, by index
 * @param tenants tenants, by index; may be empty
 * @param serverKinds server kinds, by index
 * @param capabilities what the router is permitted to do
 * @param serverLimits the limits of the servers
 */
public record RoutingSettings(
        int routers,
        int self,
        int zone,
        boolean subscribesToDiscovery,
        double overQuotaPriorityWeight,
        LoadReportMode loadReportMode,
        List<RequestClass> classes,
        List<Tenant> tenants,
        List<ServerKind> serverKinds,
        Capabilities capabilities,
        ServerLimits serverLimits) {
    /** The role of a kind of server: prefill, decode, or both. */
    public enum Role {
        READ,
        WRITE,
        BOTH
    }

    /** Whether requests of a class are idempotent, by themselves or by an idempotency key. */
    public enum Idempotency {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The servers that share an idempotency key and drop repeats. */
    public enum IdempotencyScope {
        ALL,
        ZONE,
        CELL
    }

    /**
     * How load reports are delivered: never, with the outcomes of attempts, or only with probe
     * results.
     */
    public enum LoadReportMode {
        NONE,
        IN_OUTCOMES,
        IN_PROBES
    }

    /**
     * One request class.
     *
     * @param latencyObjectiveMicros time to the first token up to which a request earns its full
     *     weight
     * @param latencyObjectivePer1000TokensMicros added to the objective for each 1,000 prompt
     *     tokens
     * @param priorityWeight weight of one request, compared between classes
     * @param idempotency whether requests may be repeated
     * @param idempotencyScope for keyed classes: the servers that drop repeats
     * @param idempotencyWindowMicros for keyed classes: how long repeats are dropped, from the
     *     first send
     */
    public record RequestClass(
            long latencyObjectiveMicros,
            long latencyObjectivePer1000TokensMicros,
            double priorityWeight,
            Idempotency idempotency,
            IdempotencyScope idempotencyScope,
            long idempotencyWindowMicros) {}

    /**
     * One tenant.
     *
     * @param quotaPerSecond quota in requests per second, over all routers
     */
    public record Tenant(double quotaPerSecond) {}

    /**
     * One kind of server.
     *
     * @param role the role of such servers
     * @param memoryTokens memory size, in tokens
     */
    public record ServerKind(Role role, long memoryTokens) {}

    /**
     * The actions that the router may use, and their limits and costs.
     *
     * @param maxAttempts maximum number of attempts per request
     * @param cancel whether {@link Cancel} is permitted
     * @param probes whether {@link Probe} is permitted
     * @param backoffHints whether rejections carry a Retry-After hint
     * @param maxBackoffMicros the longest hint that clients respect
     * @param decodersMayPrefill whether a decode server does the prefill itself if it finds no
     *     state
     * @param gossip whether {@link Tell} is permitted
     * @param probeCost score points that one probe per request costs
     * @param gossipCost score points that 256 delivered bytes per request cost
     */
    public record Capabilities(
            int maxAttempts,
            boolean cancel,
            boolean probes,
            boolean backoffHints,
            long maxBackoffMicros,
            boolean decodersMayPrefill,
            boolean gossip,
            double probeCost,
            double gossipCost) {}

    /**
     * Load limits of the servers.
     *
     * @param coldCapacityShare minimum share of its capacity that a server has just after its start
     * @param warmUpMicros time after the start until a server is warm
     * @param overloadMultiple multiple of its capacity; a server that is sent more than that for
     *     {@code overloadMicros} fails
     * @param overloadMicros length of the window over which the sends are compared with that
     *     multiple
     * @param reservationLimitMicros time within which a reserved state has to be fetched or
     *     released
     */
    public record ServerLimits(
            double coldCapacityShare,
            long warmUpMicros,
            double overloadMultiple,
            long overloadMicros,
            long reservationLimitMicros) {}
}
