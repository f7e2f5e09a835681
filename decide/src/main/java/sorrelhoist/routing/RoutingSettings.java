package sorrelhoist.routing;

import java.util.List;
import sorrelhoist.routing.RoutingActions.Cancel;
import sorrelhoist.routing.RoutingActions.Probe;
import sorrelhoist.routing.RoutingActions.Tell;

/**
 * All that a router is told at start.
 *
 * @param routers routers that share the servers, this one included
 * @param self this router's number, from 0
 * @param zone the zone in which this router stands
 * @param subscribesToDiscovery true where list changes come only to those that subscribe
 * @param overQuotaPriorityWeight weight of a tenant's requests over its quota, as a share of the
 *     class's
 * @param loadReportMode how load reports come
 * @param classes request classes, by index
 * @param tenants tenants, by index; may be empty
 * @param serverKinds server kinds, by index
 * @param capabilities what is permitted
 * @param serverLimits the rules' figures
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
    /** What a kind of server does: prefill, decode, or both. */
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

    /** Which servers know an idempotency key and drop repeats. */
    public enum IdempotencyScope {
        ALL,
        ZONE,
        CELL
    }

    /** How load reports come: never, within outcomes, or only within probe results. */
    public enum LoadReportMode {
        NONE,
        IN_OUTCOMES,
        IN_PROBES
    }

    /**
     * One request class.
     *
     * @param latencyObjectiveMicros a first token within this time earns the full weight
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
     * @param quotaPerSecond requests a second within its quota, over all routers
     */
    public record Tenant(double quotaPerSecond) {}

    /**
     * One kind of server.
     *
     * @param role what such servers do
     * @param memoryTokens memory, in tokens
     */
    public record ServerKind(Role role, long memoryTokens) {}

    /**
     * What the router may do.
     *
     * @param maxAttempts attempts a request may have
     * @param cancel whether {@link Cancel} is permitted
     * @param probes whether {@link Probe} is permitted
     * @param backoffHints whether rejections carry a Retry-After hint
     * @param maxBackoffMicros the longest hint that a client heeds
     * @param decodersMayPrefill whether a decode server reads the prompt itself when it finds no
     *     state
     * @param gossip whether {@link Tell} is permitted
     * @param probeCost points of the result for one probe a request
     * @param gossipCost points of the result for 256 delivered bytes a request
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
     * Limits of what servers bear.
     *
     * @param coldCapacityShare a server that has just started can do this share of its work or more
     * @param warmUpMicros and is warm after this time
     * @param overloadMultiple sent more than this multiple of what it can do,
     * @param overloadMicros for this long, it falls over
     * @param reservationLimitMicros a reserved state is taken or released within this time
     */
    public record ServerLimits(
            double coldCapacityShare,
            long warmUpMicros,
            double overloadMultiple,
            long overloadMicros,
            long reservationLimitMicros) {}
}
