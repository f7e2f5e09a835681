package sorrelhoist.routing;

import java.util.List;
import sorrelhoist.routing.RoutingActions.Reserve;
import sorrelhoist.routing.RoutingActions.Timer;

/**
 * The events that a router passes to {@link RoutingPolicy}, and their data.
 *
 * <p>All times are in microseconds of the router's own clock, which is monotonic. Server ids are
 * opaque. This file contains plain data and no decision logic.
 */
public final class RoutingEvents {
    private RoutingEvents() {}

    /** A server's state as listed by discovery. */
    public enum ServerState {
        SERVING,
        DRAINING,
        GONE
    }

    /**
     * How a membership event relates to the current server list. {@code UPDATE} contains only
     * changed entries. {@code COMPLETE} and {@code RESTORED} replace the list; {@code RESTORED} is
     * the list that the router had before its start. {@code UNAVAILABLE} is a failed call to
     * discovery.
     */
    public enum ListUpdateKind {
        UPDATE,
        COMPLETE,
        RESTORED,
        UNAVAILABLE
    }

    /**
     * How an attempt or a probe ended. {@code READ} is a completed prefill whose state is kept at
     * the prefill server. {@code FULL} is a rejection by a server that is full. {@code SKIPPED} is
     * a send that the router did not perform.
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
     * One entry of the server list.
     *
     * @param id opaque, the same at every router
     * @param zone the server's zone
     * @param kind index into {@link RoutingSettings#serverKinds}
     * @param cell the server's cell, a small group of servers that are connected by a fast link
     * @param state the listed state
     * @param size relative size, compared among servers of the same role
     * @param since time of the last start of the process; 0 if it started long ago
     */
    public record Server(
            String id, int zone, int kind, int cell, ServerState state, double size, long since) {}

    /**
     * A server's load report, which may be delayed and noisy. Values that were not reported are
     * NaN.
     *
     * @param memoryShare share of the server's memory that is in use
     * @param waitingTokens prompt tokens that wait for their prefill or for the fetch of their
     *     state
     * @param held requests at the server, including waiting ones
     * @param queued requests that wait
     */
    public record ServerLoad(double memoryShare, double waitingTokens, double held, double queued) {
        /** An empty report. */
        public static final ServerLoad NONE =
                new ServerLoad(Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    /** An event that a router passes to the policy. */
    public sealed interface Event {}

    /**
     * Discovery sent a server list or failed. This should be the first event of a policy.
     *
     * @param form how the entries relate to the current list
     * @param servers the entries; empty if discovery is unavailable
     */
    public record Members(ListUpdateKind form, List<Server> servers) implements Event {}

    /**
     * A request arrived. It gets exactly one final answer.
     *
     * @param id unique, never reused
     * @param cls index into {@link RoutingSettings#classes}
     * @param tenant index into {@link RoutingSettings#tenants}; 0 if there are none
     * @param session name of the session, which is one conversation, or null
     * @param prefix name of the prompt's prefix that other sessions share, or null
     * @param promptTokens tokens in the prompt
     * @param prefixTokens tokens of the prompt that belong to the shared prefix
     * @param maxTokens maximum number of tokens in the answer
     * @param budgetMicros time until the client gives up
     * @param resumed whether the client already has the beginning of the answer, from a stream that
     *     was broken or migrated
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
        /** Creates the event for a request whose client has received nothing yet. */
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
     * An attempt ended. Each send gets exactly one of these events.
     *
     * @param id the request
     * @param attempt number of the send, from 0
     * @param server the server that it was sent to
     * @param outcome how it ended
     * @param tookMicros time since the send
     * @param ended true if the request is concluded
     * @param note after READ and DONE the number of prompt tokens that were cached; after FULL 1 if
     *     there was no state to fetch; after any failure 2 if the state was released while the
     *     attempt was in flight
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
     * An attempt was written to the connection, but nothing confirms that its server received it:
     * the server may be stopped, or the network may drop packets. The attempt is still in flight
     * and may yet arrive.
     *
     * @param id the request
     * @param attempt number of the send
     * @param server the server that it was sent to
     */
    public record DeliveryUnconfirmed(long id, int attempt, String server) implements Event {}

    /**
     * The first token of the answer arrived. The deadline and the attempt's timeout no longer
     * apply.
     *
     * @param id the request
     * @param attempt number of the send
     * @param server the decode server
     * @param tookMicros time since the send
     */
    public record StreamStarted(long id, int attempt, String server, long tookMicros)
            implements Event {}

    /**
     * The result of a {@link Reserve} action.
     *
     * @param id the request
     * @param server the server at which a slot was requested
     * @param held whether a slot is reserved
     */
    public record PlaceAnswered(long id, String server, boolean held) implements Event {}

    /**
     * The result of a probe.
     *
     * @param server the probed server
     * @param outcome DONE, or how the probe failed
     * @param tookMicros time since the probe was sent
     * @param report the server's load report, or {@link ServerLoad#NONE}
     */
    public record ProbeAnswered(String server, Outcome outcome, long tookMicros, ServerLoad report)
            implements Event {}

    /**
     * A timer expired.
     *
     * @param token the token of the {@link Timer} action
     */
    public record TimerFired(long token) implements Event {}

    /**
     * A message arrived from another router.
     *
     * @param from number of the sender
     * @param body text of the message, as it was sent
     */
    public record PeerMessage(int from, String body) implements Event {}

    /**
     * The number of routers or the number of this router changed.
     *
     * @param routers number of routers that share the servers, including this one
     * @param self this router's number, from 0
     */
    public record Seated(int routers, int self) implements Event {}

    /**
     * The client disconnected. No answer has to be sent any more.
     *
     * @param id the request
     */
    public record ClientGone(long id) implements Event {}
}
