package sorrelhoist.routing;

import sorrelhoist.routing.RoutingEvents.TimerFired;

/**
 * What {@link RoutingPolicy} tells a router to do. All times are microseconds on the router's own
 * clock. Everything here is plain data; nothing in this file decides anything.
 */
public final class RoutingActions {
    private RoutingActions() {}

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
