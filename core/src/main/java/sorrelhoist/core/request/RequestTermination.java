package sorrelhoist.core.request;

import sorrelhoist.routing.Reason;
import sorrelhoist.routing.RoutingEvents.ClientGone;
import sorrelhoist.routing.RoutingEvents.Outcome;

/**
 * Ends requests early, for example because the client disconnected or stopped reading, or because
 * its deadline has passed.
 */
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

    /** Ends the request of a client that disconnected. */
    void clientDisconnected(RequestState request) {
        responses.clientDisconnected(request);
        stopWork(request, RequestPhase.Transition.CLIENT_DISCONNECTED);
    }

    /** Ends the request of a client that has not read its answer for too long. */
    void clientStalled(RequestState request) {
        long timeoutMillis = clientStallTimeoutMicros / MICROS_PER_MILLI;
        String message = "the client did not read its answer for " + timeoutMillis + " ms";
        responses.finish(request, new RequestResult.Stalled(message));
        stopWork(request, RequestPhase.Transition.CLIENT_DISCONNECTED);
    }

    /**
     * Ends the stream at the client's deadline. Does nothing before the first token, because until
     * then the routing policy enforces the deadline.
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
     * Fails a request that still has no result after its deadline. Normally the routing policy
     * answers each request by then; this covers the case that it missed one because an event could
     * not be processed. Does nothing if the stream has begun.
     */
    void resultOverdue(RequestState request) {
        if (request.phase == RequestPhase.STREAMING || request.tokens > 0) {
            return;
        }
        responses.log(request, "request had no result after its deadline; failing it");
        fail(
                request,
                new RequestResult.Failed(
                        PolicyResults.DEADLINE_EXCEEDED_MESSAGE, true, Reason.UNKNOWN));
    }

    /** Fails a request and stops all work on it. */
    void fail(RequestState request, RequestResult.Failed result) {
        responses.finish(request, result);
        stopWork(request, RequestPhase.Transition.FAILED);
    }

    /** Stops all work on a request whose client awaits nothing more. */
    private void stopWork(RequestState request, RequestPhase.Transition transition) {
        boolean streaming = request.phase == RequestPhase.STREAMING;
        Attempt running = streaming ? request.runningAttempt : null;
        request.apply(transition);
        decisions.submitEvent(new ClientGone(request.routingId));
        if (running != null) {
            // The routing policy does not cancel running streams, so a stream that no client reads
            // any more is cancelled here.
            failures.cancelAttempt(running, Outcome.CANCELLED);
        }
    }
}
