package sorrelhoist.core.request;

import sorrelhoist.routing.Reason;

/**
 * Admission control of the router itself: rejects requests beyond the limit of open requests,
 * requests that must not run again, and all requests once the router is draining.
 */
final class RequestAdmission {
    private static final long RETRY_AFTER_MICROS = 500_000;

    private final int maxOpenRequests;
    private final RequestTable requests;
    private final ExecutedRequestIds executed;
    private final ClientResponses responses;
    private boolean draining;

    RequestAdmission(
            int maxOpenRequests,
            RequestTable requests,
            ExecutedRequestIds executed,
            ClientResponses responses) {
        this.maxOpenRequests = maxOpenRequests;
        this.requests = requests;
        this.executed = executed;
        this.responses = responses;
    }

    void startDraining() {
        draining = true;
    }

    boolean isDraining() {
        return draining;
    }

    /**
     * Rejects a request that has just been opened if the router is full or draining, or if it may
     * have run before. {@return whether the request is admitted}
     */
    boolean admit(RequestState request) {
        if (executed.mayHaveRun(request)) {
            request.apply(RequestPhase.Transition.REJECTED);
            String message = "a request with this ID may have run, and its class is not idempotent";
            responses.finish(request, new RequestResult.Failed(message, false, Reason.UNKNOWN));
            return false;
        }
        if (!draining && requests.openCount() <= maxOpenRequests) {
            return true;
        }
        request.apply(RequestPhase.Transition.REJECTED);
        int openBefore = requests.openCount() - 1;
        int limit = draining ? 0 : maxOpenRequests;
        Reason reason = Reason.compared(Reason.Kind.ROUTER_FULL, openBefore, limit);
        responses.finish(request, new RequestResult.Refused(RETRY_AFTER_MICROS, reason));
        return false;
    }
}
