package sorrelhoist.core.request;

import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.ServerLoad;

/** Follows answers from their first token to their end, and passes them on to clients. */
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

    /** A token came; one that is out of turn ends the attempt. */
    void tokenReceived(Attempt attempt, int index, String text, Object attachment) {
        RequestState request = attempt.request;
        if (index != request.tokens || index >= request.parameters.maxOutputTokens()) {
            responses.log(request, "token " + index + " where " + request.tokens + " was due");
            failures.cancelAttempt(attempt, Outcome.ERROR);
            return;
        }
        countToken(attempt);
        request.generatedText.append(text);
        deliverOrCancel(attempt, index, text, attachment);
    }

    /** An opaque event came. {@return whether it was passed on} */
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

    /** An engine says that it has sent its whole answer, of so many tokens. */
    void tokenStreamCompleted(Attempt attempt, int tokens, long cachedTokens, ServerLoad load) {
        RequestState request = attempt.request;
        if (tokens == request.tokens) {
            completeStream(attempt, cachedTokens, load);
        } else {
            responses.log(
                    request, "an answer of " + tokens + " tokens ended after " + request.tokens);
            failures.failed(attempt, Outcome.ERROR, 0, load);
        }
    }

    /** The whole answer has come. */
    void completeStream(Attempt attempt, long cachedTokens, ServerLoad load) {
        attempts.streamCompleted(attempt, cachedTokens, load);
        RequestState request = attempt.request;
        responses.finish(request, new RequestResult.Served(request.tokens));
    }
}
