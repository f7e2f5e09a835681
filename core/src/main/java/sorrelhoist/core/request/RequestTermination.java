package sorrelhoist.core.request;

import sorrelhoist.routing.Reason;
import sorrelhoist.routing.RoutingEvents.ClientGone;
import sorrelhoist.routing.RoutingEvents.Outcome;

/** Ends requests early: their clients left, stopped reading, or ran out of time. */
final class RequestTermination {
    private static final long MICROS_PER_MILLI = 1000;

    private final long clientStallTimeoutMicros;
    private final DecisionLoop decisions;
    private final AttemptFailures failures;
    private final ClientResponses responses;

    RequestTermination(
            long clientStallTimeoutMicros,
            DecisionLoop decisions,
            AttemptFailures failures,
            ClientResponses responses) {
        this.clientStallTimeoutMicros = clientStallTimeoutMicros;
        this.decisions = decisions;
        this.failures = failures;
        this.responses = responses;
    }

    /** The client left. */
    void clientDisconnected(RequestState request) {
        responses.clientDisconnected(request);
        abandon(request, RequestPhase.Transition.CLIENT_DISCONNECTED);
    }

    /** The client has taken nothing since {@code blockedSince}, unless it has taken some again. */
    void clientStalled(RequestState request, long blockedSince) {
        if (request.finished || request.blockedSince != blockedSince) {
            return;
        }
        long timeoutMillis = clientStallTimeoutMicros / MICROS_PER_MILLI;
        String message = "the client took nothing of its answer for " + timeoutMillis + " ms";
        responses.finish(request, new RequestResult.Stalled(message));
        abandon(request, RequestPhase.Transition.CLIENT_DISCONNECTED);
    }

    /**
     * The client's time is up. Until the first token the routing policy keeps the deadline; from
     * then on it ends the stream.
     */
    void clientDeadlineReached(RequestState request) {
        if (!request.isStreaming()) {
            return;
        }
        Attempt running = request.runningAttempt;
        request.apply(RequestPhase.Transition.DEADLINE_EXCEEDED);
        String message = "the answer did not end within the client's time";
        responses.finish(request, new RequestResult.Failed(message, true, Reason.UNKNOWN));
        failures.cancelAttempt(running, Outcome.TIMED_OUT);
    }

    /**
     * The routing policy answers each request by the end of its client's time. Should one be left
     * over all the same, because an event could not be taken, its client is still owed a result.
     */
    void resultOverdue(RequestState request) {
        if (request.phase == RequestPhase.STREAMING || request.tokens > 0) {
            return;
        }
        responses.log(request, "not answered by the end of its time");
        fail(
                request,
                new RequestResult.Failed(
                        PolicyResults.DEADLINE_EXCEEDED_MESSAGE, true, Reason.UNKNOWN));
    }

    /** Fails a request and stops what is done for it. */
    void fail(RequestState request, RequestResult.Failed result) {
        responses.finish(request, result);
        abandon(request, RequestPhase.Transition.FAILED);
    }

    /** Stops what is done for a client to whom nothing is owed any more. */
    private void abandon(RequestState request, RequestPhase.Transition transition) {
        boolean streaming = request.phase == RequestPhase.STREAMING;
        Attempt running = streaming ? request.runningAttempt : null;
        request.apply(transition);
        decisions.submitEvent(new ClientGone(request.routingId));
        if (running != null) {
            // The routing policy leaves it to us to end a stream that nobody reads.
            failures.cancelAttempt(running, Outcome.CANCELLED);
        }
    }
}
