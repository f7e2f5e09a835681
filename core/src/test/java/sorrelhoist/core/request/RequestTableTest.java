package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import org.junit.jupiter.api.Test;

class RequestTableTest {
    private final RequestTable requests = new RequestTable();
    private final RequestState request =
            requests.open(Fleet.call(Fleet.SAFE, 10, 0), RequestState.NO_DEADLINE);

    private Attempt start() {
        requests.assignRoutingId(request);
        AttemptId id = new AttemptId(request.routingId, 0);
        request.runningAttempt = new Attempt(request, id, "w0", 1, false, 0);
        return request.runningAttempt;
    }

    @Test
    void onlyTheRunningAttemptIsFound() {
        Attempt attempt = start();
        assertSame(attempt, requests.runningAttempt(attempt.id));
        assertNull(requests.runningAttempt(new AttemptId(request.routingId, 1)));
        request.runningAttempt = null;
        assertNull(requests.runningAttempt(attempt.id));
    }

    @Test
    void aFinishedRequestStaysKnownUntilItsAttemptHasEnded() {
        start();
        requests.finish(request);
        requests.removeFinished();
        assertEquals(0, requests.openCount());
        assertSame(request, requests.byRoutingId(request.routingId));
        request.runningAttempt = null;
        requests.removeFinished();
        assertNull(requests.byRoutingId(request.routingId));
    }

    @Test
    void aResumedRequestIsNotFoundUnderItsFormerRoutingId() {
        AttemptId former = start().id;
        requests.removeRoutingId(request);
        requests.assignRoutingId(request);
        assertNull(requests.runningAttempt(former));
        assertSame(request, requests.byRoutingId(request.routingId));
    }
}
