package sorrelhoist.core.request;

import sorrelhoist.core.explain.ReasonFormatter;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.RoutingActions.Fail;
import sorrelhoist.routing.RoutingActions.Refuse;

/** Gives clients the results that the routing policy decides on. */
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

    /** The policy rejects a request. */
    void reject(Refuse refusal) {
        RequestState request = requests.byRoutingId(refusal.id());
        if (!awaitsResult(request)) {
            return;
        }
        if (request.tokens > 0) {
            // A resumed stream: what its client has received can't be rejected any more.
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

    /** The policy gives a request up. */
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
     * The policy's deadline timer may still fire for a stream that has begun. The first token has
     * concluded what it concerns, so it is passed over.
     */
    private static boolean awaitsResult(RequestState request) {
        return request != null && !request.finished && request.phase != RequestPhase.STREAMING;
    }
}
