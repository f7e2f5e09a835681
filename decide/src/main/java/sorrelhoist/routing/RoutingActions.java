package sorrelhoist.routing;

import sorrelhoist.routing.RoutingEvents.TimerFired;

/**
 * The actions that {@link RoutingPolicy} returns to a router. All times are in microseconds of the
 * router's own clock. This file contains plain data and no decision logic.
 */
public final class RoutingActions {
    private RoutingActions() {}

    /**
     * An action that the router has to perform. Actions are performed in the order in which they
     * are returned.
     */
    public sealed interface Action {}

    /**
     * Send the request to a server.
     *
     * @param id the request
     * @param server the server's id
     * @param cutAt clock time at which the attempt times out; 0 for the client's deadline
     * @param why the reason for the selection
     */
    public record Send(long id, String server, long cutAt, Reason why) implements Action {}

    /**
     * Reserve a decode slot at a decode server in advance.
     *
     * @param id the request
     * @param server the decode server's id
     */
    public record Reserve(long id, String server) implements Action {}

    /**
     * Release everything that is reserved for the request and that no attempt waits for.
     *
     * @param id the request
     */
    public record Release(long id) implements Action {}

    /**
     * Final answer: the request is rejected, and a retry by the client is harmless.
     *
     * @param id the request
     * @param backoffMicros Retry-After hint in microseconds; 0 for none
     * @param why the reason for the rejection
     */
    public record Refuse(long id, long backoffMicros, Reason why) implements Action {}

    /**
     * Final answer: the request failed. Whether a retry by the client is harmless is not known.
     *
     * @param id the request
     * @param why the reason for the failure
     */
    public record Fail(long id, Reason why) implements Action {}

    /**
     * Cancel an attempt: stop waiting for it.
     *
     * @param id the request
     * @param attempt number of the send
     * @param why the reason for the cancellation
     */
    public record Cancel(long id, int attempt, Reason why) implements Action {}

    /**
     * Migrate a running stream: end it gracefully, so that the client resumes it on another server.
     *
     * @param id the request
     */
    public record Move(long id) implements Action {}

    /**
     * Probe a server.
     *
     * @param server the server's id
     */
    public record Probe(String server) implements Action {}

    /**
     * Schedule a {@link TimerFired} event.
     *
     * @param delayMicros delay from now, in microseconds
     * @param token returned unchanged in the event
     */
    public record Timer(long delayMicros, long token) implements Action {}

    /**
     * Send a message to another router.
     *
     * @param to the number of the receiving router; -1 for all
     * @param body at most 256 bytes
     */
    public record Tell(int to, String body) implements Action {}

    /**
     * Subscribe to changes that discovery pushes, or unsubscribe.
     *
     * @param on true to subscribe, false to unsubscribe
     */
    public record Follow(boolean on) implements Action {}

    /** Fetch the complete server list from discovery once. */
    public record FetchList() implements Action {}

    /**
     * Close idle connections to a server.
     *
     * @param server the server's id
     */
    public record CloseIdle(String server) implements Action {}

    /**
     * Write a line to the log.
     *
     * @param text the line
     */
    public record Log(String text) implements Action {}
}
