package sorrelhoist.routing;

import java.util.List;
import sorrelhoist.routing.RoutingActions.Reserve;
import sorrelhoist.routing.RoutingActions.Timer;

/**
 * What a router tells {@link RoutingPolicy}: the events and what they carry.
 *
 * <p>All times are microseconds on the router's own clock, which only advances. Server ids are
 * opaque. Everything here is plain data; nothing in this file decides anything.
 */
public final class RoutingEvents {
    private RoutingEvents() {}

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
     * @param note kept tokens after READ and DONE; 1 after FULL where no state was there to fetch;
     *     2 after any failure where the state was released while the attempt was in flight
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
     * An attempt was written, and nothing shows that its server has it: the server may be stopped,
     * or the way to it silent. The attempt is in flight still, and may yet arrive.
     *
     * @param id the request
     * @param attempt number of the send
     * @param server where it was sent
     */
    public record DeliveryUnconfirmed(long id, int attempt, String server) implements Event {}

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
}
