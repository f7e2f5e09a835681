package sorrelhoist.core.request;

import sorrelhoist.routing.Reason;

/**
 * Admission control of the router itself: rejects requests beyond the limit of open requests, and
 * all requests once the router is draining.
 */
final class RequestAdmission {
    private static final long RETRY_AFTER_MICROS = 500_000;

    private final int maxOpenRequests;
    private final RequestTable requests;
    private final ClientResponses responses;
    private boolean draining;

    RequestAdmission(int maxOpenRequests, RequestTable requests, ClientResponses responses) {
        this.maxOpenRequests = maxOpenRequests;
        this.requests = requests;
        this.responses = responses;
    }

    void startDraining() {
        draining = true;
    }

    boolean isDraining() {
        return draining;
    }

    /**
     * Rejects a request that has just been opened if the router is full or draining. {@return
     * whether the request is admitted}
     */
    boolean admit(RequestState request) {
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
