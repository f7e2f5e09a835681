package sorrelhoist.routing;

import java.util.List;

/**
 * The vocabulary between a router and {@link RoutingPolicy}: settings at start, events in, actions
 * out.
 *
 * <p>All times are microseconds on the router's own clock, which only advances. Server ids are
 * opaque. Everything here is plain data; nothing in this file decides anything.
 */
public final class Routing {
    private Routing() {}

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

    /** A server's state as discovery lists it. */
    public enum ServerState {
        SERVING,
        DRAINING,
        GONE
    }

    /** How a membership event relates to the list that is held. */
    public enum ListUpdateKind {
        UPDATE,
        COMPLETE,
        RESTORED,
        UNAVAILABLE
    }

    /**
     * How an attempt or a probe ended; {@code READ} is a prefill whose state waits where it ran.
     */
    public enum Outcome {
        DONE,
        READ,
        ERROR,
        FULL,
        TIMED_OUT,
        CONNECT_FAILED,
        RESET,
        CANCELLED,
        SKIPPED
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

    /**
     * All that a router is told at start.
     *
     * @param routers routers that share the servers, this one included
     * @param self this router's number, from 0
     * @param zone the zone in which this router stands
     * @param subscribesToDiscovery true where list changes come only to those that subscribe
     * @param overQuotaPriorityWeight weight of a tenant's requests over its quota, as a share of
     *     the class's
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
            ServerLimits serverLimits) {}

    /**
     * One line of the list of servers.
     *
     * @param id opaque, the same at every router
     * @param zone the zone in which it stands
     * @param kind index into {@link RoutingSettings#serverKinds}
     * @param cell the small group of servers with a fast link among them
     * @param state as listed
     * @param size for comparison with servers of the same role
     * @param since time of its last start; 0 for long ago
     */
    public record Server(
            String id, int zone, int kind, int cell, ServerState state, double size, long since) {}

    /**
     * A server's report of its load, late and noisy; what is not reported is not a number.
     *
     * @param memoryShare share of its memory that is held
     * @param waitingTokens prompt tokens that wait to be read or fetched
     * @param held requests it holds, those waiting too
     * @param queued requests that wait
     */
    public record ServerLoad(double memoryShare, double waitingTokens, double held, double queued) {
        /** Nothing was reported. */
        public static final ServerLoad NONE =
                new ServerLoad(Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    /** What a router tells the module. */
    public sealed interface Event {}

    /**
     * Discovery spoke. The first event of an instance should be one of these.
     *
     * @param form how the lines relate to the list held
     * @param servers the lines; empty where unavailable
     */
    public record Members(ListUpdateKind form, List<Server> servers) implements Event {}

    /**
     * A request came and is owed one final answer.
     *
     * @param id never repeated
     * @param cls index into {@link RoutingSettings#classes}
     * @param tenant index into {@link RoutingSettings#tenants}; 0 where there are none
     * @param session the conversation, or null
     * @param prefix the beginning shared with other sessions, or null
     * @param promptTokens tokens in the prompt
     * @param prefixTokens those among them that belong to the shared beginning
     * @param maxTokens the most that may be answered
     * @param budgetMicros time until the client gives up
     * @param resumed whether its client has the beginning of the answer, of a stream that broke or
     *     was moved
     */
    public record Arrived(
            long id,
            int cls,
            int tenant,
            String session,
            String prefix,
            long promptTokens,
            long prefixTokens,
            long maxTokens,
            long budgetMicros,
            boolean resumed)
            implements Event {
        /** A request whose client has nothing yet. */
        public Arrived(
                long id,
                int cls,
                int tenant,
                String session,
                String prefix,
                long promptTokens,
                long prefixTokens,
                long maxTokens,
                long budgetMicros) {
            this(
                    id,
                    cls,
                    tenant,
                    session,
                    prefix,
                    promptTokens,
                    prefixTokens,
                    maxTokens,
                    budgetMicros,
                    false);
        }
    }

    /**
     * An attempt ended; each send gets exactly one of these.
     *
     * @param id the request
     * @param attempt number of the send, from 0
     * @param server where it was sent
     * @param outcome how it ended
     * @param tookMicros time since the send
     * @param ended true once the request is concluded
     * @param note kept tokens after READ and DONE; 1 after FULL where no state was there to fetch
     * @param report the server's load report, or {@link ServerLoad#NONE}
     */
    public record AttemptEnded(
            long id,
            int attempt,
            String server,
            Outcome outcome,
            long tookMicros,
            boolean ended,
            long note,
            ServerLoad report)
            implements Event {}

    /**
     * The answer has begun; deadline and timeout no longer run.
     *
     * @param id the request
     * @param attempt number of the send
     * @param server the writer
     * @param tookMicros time since the send
     */
    public record StreamStarted(long id, int attempt, String server, long tookMicros)
            implements Event {}

    /**
     * The answer to a {@link Reserve}.
     *
     * @param id the request
     * @param server where a place was asked for
     * @param held whether one is held
     */
    public record PlaceAnswered(long id, String server, boolean held) implements Event {}

    /**
     * A probe's result.
     *
     * @param server the server probed
     * @param outcome DONE, or the reason otherwise
     * @param tookMicros time since it was sent
     * @param report the server's load report, or {@link ServerLoad#NONE}
     */
    public record ProbeAnswered(String server, Outcome outcome, long tookMicros, ServerLoad report)
            implements Event {}

    /**
     * A timer fell due.
     *
     * @param token as given with {@link Timer}
     */
    public record TimerFired(long token) implements Event {}

    /**
     * Another router's message.
     *
     * @param from number of the sender
     * @param body as sent
     */
    public record PeerMessage(int from, String body) implements Event {}

    /**
     * The number of routers, or this one's number, changed.
     *
     * @param routers routers that share the servers, this one included
     * @param self this router's number, from 0
     */
    public record Seated(int routers, int self) implements Event {}

    /**
     * The client disconnected; nothing is owed any more.
     *
     * @param id the request
     */
    public record ClientGone(long id) implements Event {}

    /** What the module tells the router to do, in order. */
    public sealed interface Action {}

    /**
     * Send the request to a server.
     *
     * @param id the request
     * @param server where to
     * @param cutAt clock time at which the attempt is given up; 0 for the client's deadline
     * @param why what settled it
     */
    public record Send(long id, String server, long cutAt, Reason why) implements Action {}

    /**
     * Reserve a place ahead at a decode server.
     *
     * @param id the request
     * @param server the writer
     */
    public record Reserve(long id, String server) implements Action {}

    /**
     * Release all that is reserved for the request and that no attempt waits for.
     *
     * @param id the request
     */
    public record Release(long id) implements Action {}

    /**
     * Final answer: rejected, and a retry is harmless.
     *
     * @param id the request
     * @param backoffMicros Retry-After hint; 0 for none
     * @param why what was short
     */
    public record Refuse(long id, long backoffMicros, Reason why) implements Action {}

    /**
     * Final answer: failed, nothing promised.
     *
     * @param id the request
     * @param why what was short
     */
    public record Fail(long id, Reason why) implements Action {}

    /**
     * Stop waiting for an attempt.
     *
     * @param id the request
     * @param attempt number of the send
     * @param why what settled it
     */
    public record Cancel(long id, int attempt, Reason why) implements Action {}

    /**
     * Migrate a running stream: end it in good order, the client resumes it elsewhere.
     *
     * @param id the request
     */
    public record Move(long id) implements Action {}

    /**
     * Probe a server.
     *
     * @param server which
     */
    public record Probe(String server) implements Action {}

    /**
     * Ask for a {@link TimerFired}.
     *
     * @param delayMicros from now
     * @param token handed back
     */
    public record Timer(long delayMicros, long token) implements Action {}

    /**
     * Send a message to another router.
     *
     * @param to its number; -1 for all
     * @param body at most 256 bytes
     */
    public record Tell(int to, String body) implements Action {}

    /**
     * Ask discovery to push changes, or to stop.
     *
     * @param on which
     */
    public record Follow(boolean on) implements Action {}

    /** Ask discovery for the complete list once. */
    public record FetchList() implements Action {}

    /**
     * Close idle connections to a server.
     *
     * @param server which
     */
    public record CloseIdle(String server) implements Action {}

    /**
     * A line for the log.
     *
     * @param text the line
     */
    public record Log(String text) implements Action {}
}
