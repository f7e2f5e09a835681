package sorrelhoist.core.request;

import sorrelhoist.core.explain.ReasonFormatter;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.RoutingActions.Fail;
import sorrelhoist.routing.RoutingActions.Refuse;

/** Delivers the final results that the routing policy decides on to clients. */
final class PolicyResults {
    static final String DEADLINE_EXCEEDED_MESSAGE = "no answer within the client's time";

    private final RequestTable requests;
    private final RouterClock clock;
    private final ClientResponses responses;

    PolicyResults(RequestTable requests, RouterClock clock, ClientResponses responses) {
        this.requests = requests;
        this.clock = clock;
        this.responses = responses;
    }

    /** Rejects a request by decision of the policy. */
    void reject(Refuse refusal) {
        RequestState request = requests.byRoutingId(refusal.id());
        if (!awaitsResult(request)) {
            return;
        }
        if (request.tokens > 0) {
            // This is a resumed stream. Its client has already received tokens, so the request
            // fails instead of being rejected.
            finishFailed(request, "the answer broke off and could not go on: ", refusal.why());
        } else {
            request.apply(RequestPhase.Transition.REJECTED);
            responses.finish(
                    request, new RequestResult.Refused(refusal.backoffMicros(), refusal.why()));
        }
    }

    private void finishFailed(RequestState request, String message, Reason reason) {
        request.apply(RequestPhase.Transition.FAILED);
        String text = message + ReasonFormatter.describeFailure(reason);
        responses.finish(request, new RequestResult.Failed(text, false, reason));
    }

    /** Fails a request by decision of the policy. */
    void fail(Fail failure) {
        RequestState request = requests.byRoutingId(failure.id());
        if (!awaitsResult(request)) {
            return;
        }
        if (request.deadline <= clock.now()) {
            request.apply(RequestPhase.Transition.FAILED);
            responses.finish(
                    request,
                    new RequestResult.Failed(DEADLINE_EXCEEDED_MESSAGE, true, failure.why()));
        } else {
            finishFailed(
                    request,
                    "not answered, and a repeat may have an effect twice: ",
                    failure.why());
        }
    }

    /**
     * Returns whether a result of the policy still applies to the request. The policy's deadline
     * timer covers only the time until the first token but may still fire for a stream that has
     * begun; such a result is ignored.
     */
    private static boolean awaitsResult(RequestState request) {
        return request != null && !request.finished && request.phase != RequestPhase.STREAMING;
    }
}
