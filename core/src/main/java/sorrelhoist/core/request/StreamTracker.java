package sorrelhoist.core.request;

import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.ServerLoad;

/** Tracks answers from their first token to their end and forwards them to clients. */
final class StreamTracker {
    private final AttemptTracker attempts;
    private final AttemptFailures failures;
    private final StreamMonitor monitor;
    private final ClientResponses responses;

    StreamTracker(
            AttemptTracker attempts,
            AttemptFailures failures,
            StreamMonitor monitor,
            ClientResponses responses) {
        this.attempts = attempts;
        this.failures = failures;
        this.monitor = monitor;
        this.responses = responses;
    }

    /**
     * Handles a token. Cancels the attempt if the token is out of order or exceeds the token limit.
     */
    void tokenReceived(Attempt attempt, int index, String text, Object attachment) {
        RequestState request = attempt.request;
        if (index != request.tokens || index >= request.parameters.maxOutputTokens()) {
            responses.log(
                    request,
                    "received token "
                            + index
                            + " after "
                            + request.tokens
                            + " tokens: out of order or beyond the token limit;"
                            + " cancelling the attempt");
            failures.cancelAttempt(attempt, Outcome.ERROR);
            return;
        }
        countToken(attempt);
        request.generatedText.append(text);
        deliverOrCancel(attempt, index, text, attachment);
    }

    /** Handles an opaque event. {@return whether the event was forwarded to the client} */
    boolean opaqueEventReceived(Attempt attempt, Object attachment) {
        countToken(attempt);
        return deliverOrCancel(attempt, attempt.request.tokens - 1, "", attachment);
    }

    private void countToken(Attempt attempt) {
        if (attempt.streaming) {
            monitor.tokenReceived(attempt);
            attempt.request.apply(RequestPhase.Transition.TOKEN);
        } else {
            attempts.streamStarted(attempt);
            monitor.streamStarted(attempt);
        }
        attempt.request.tokens++;
    }

    private boolean deliverOrCancel(Attempt attempt, int index, String text, Object attachment) {
        RequestState request = attempt.request;
        if (request.finished) {
            failures.cancelAttempt(attempt, Outcome.CANCELLED);
            return false;
        }
        responses.deliver(request, index, text, attachment);
        return true;
    }

    /**
     * Called when an engine reports that it has sent its whole answer of {@code tokens} tokens,
     * counted from the start of the answer.
     */
    void tokenStreamCompleted(Attempt attempt, int tokens, long cachedTokens, ServerLoad load) {
        RequestState request = attempt.request;
        if (tokens == request.tokens) {
            completeStream(attempt, cachedTokens, load);
        } else {
            responses.log(
                    request,
                    "engine reported an answer of "
                            + tokens
                            + " tokens but sent "
                            + request.tokens);
            failures.failed(attempt, Outcome.ERROR, 0, load);
        }
    }

    /** Completes a request whose whole answer was received. */
    void completeStream(Attempt attempt, long cachedTokens, ServerLoad load) {
        attempts.streamCompleted(attempt, cachedTokens, load);
        RequestState request = attempt.request;
        responses.finish(request, new RequestResult.Served(request.tokens));
    }
}
