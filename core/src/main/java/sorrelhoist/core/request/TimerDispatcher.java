package sorrelhoist.core.request;

import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.TimerFired;

/** Dispatches each due timer to the class that handles it. */
final class TimerDispatcher {
    private final RequestTable requests;
    private final DecisionLoop decisions;
    private final AttemptFailures failures;
    private final StreamMonitor streamMonitor;
    private final RequestTermination termination;

    TimerDispatcher(
            RequestTable requests,
            DecisionLoop decisions,
            AttemptFailures failures,
            StreamMonitor streamMonitor,
            RequestTermination termination) {
        this.requests = requests;
        this.decisions = decisions;
        this.failures = failures;
        this.streamMonitor = streamMonitor;
        this.termination = termination;
    }

    void fireTimer(RouterTimer timer) {
        if (timer instanceof RouterTimer.PolicyTimer due) {
            decisions.submitEvent(new TimerFired(due.token()));
        } else if (timer instanceof RouterTimer.AttemptTimeout due) {
            attemptTimedOut(due.attempt());
        } else if (timer instanceof RouterTimer.StreamSilence due) {
            streamMonitor.checkSilence(due.attempt());
        } else if (timer instanceof RouterTimer.ClientDeadline due) {
            termination.clientDeadlineReached(due.request());
        } else if (timer instanceof RouterTimer.ResultOverdue due) {
            resultOverdue(due.clientId());
        } else if (timer instanceof RouterTimer.ClientStall due
                && streamMonitor.isStalled(due.request())) {
            termination.clientStalled(due.request());
        }
    }

    private void attemptTimedOut(Attempt attempt) {
        if (!attempt.ended && !attempt.streaming) {
            failures.cancelAttempt(attempt, Outcome.TIMED_OUT);
        }
    }

    private void resultOverdue(long clientId) {
        RequestState request = requests.byClientId(clientId);
        if (request != null) {
            termination.resultOverdue(request);
        }
    }
}
