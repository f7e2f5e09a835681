package sorrelhoist.core.request;

import sorrelhoist.routing.Reason;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.ServerLoad;
import sorrelhoist.routing.RoutingSettings.Idempotency;

/**
 * Decides how to proceed when a stream breaks before the answer is complete. If the deployment
 * resumes streams and the request class is idempotent, the stream continues from its last token as
 * a new request, as if the client had reconnected; the client's stream stays open meanwhile.
 * Otherwise the client receives an error immediately.
 */
final class StreamRecovery {
    private final RouterSettings settings;
    private final RouterClock clock;
    private final AttemptTracker attempts;
    private final RequestSubmitter submitter;
    private final RequestAdmission admission;
    private final IdempotencyWindow idempotencyWindow;
    private final ClientResponses responses;

    StreamRecovery(
            RouterSettings settings,
            RouterClock clock,
            AttemptTracker attempts,
            RequestSubmitter submitter,
            RequestAdmission admission,
            IdempotencyWindow idempotencyWindow,
            ClientResponses responses) {
        this.settings = settings;
        this.clock = clock;
        this.attempts = attempts;
        this.submitter = submitter;
        this.admission = admission;
        this.idempotencyWindow = idempotencyWindow;
        this.responses = responses;
    }

    /** Handles a running stream that was lost or cancelled. */
    void streamBroken(Attempt attempt, Outcome outcome, ServerLoad load) {
        RequestState request = attempt.request;
        attempts.ended(attempt, outcome, true, 0, load);
        if (request.finished) {
            return;
        }
        submitter.endRouting(request);
        if (hasAllTokens(request)) {
            request.apply(RequestPhase.Transition.STREAM_COMPLETED);
            responses.finish(request, new RequestResult.Served(request.tokens));
        } else if (mayResume(request)) {
            request.resumptionCount++;
            request.apply(RequestPhase.Transition.STREAM_BROKEN);
            submitter.submit(request);
        } else {
            request.apply(RequestPhase.Transition.FAILED);
            String message = "the answer broke off: " + outcome;
            responses.finish(request, new RequestResult.Failed(message, false, Reason.UNKNOWN));
        }
    }

    private boolean hasAllTokens(RequestState request) {
        return !settings.streams().opaqueEvents()
                && request.tokens >= request.parameters.maxOutputTokens();
    }

    private boolean mayResume(RequestState request) {
        return !admission.isDraining()
                && settings.streams().resumeBrokenStreams()
                && idempotencyWindow.idempotencyOf(request) == Idempotency.SAFE
                && clock.now() < request.deadline
                && request.resumptionCount < settings.routing().capabilities().maxAttempts();
    }
}
