package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ExecutedRequestIdsTest {
    private static final long MINUTE = 60 * Fleet.SECOND;
    private static final int MANY = 20_000;
    private final RouterClock clock = new RouterClock();
    private final ExecutedRequestIds executed = executedIds(true);

    private ExecutedRequestIds executedIds(boolean enabled) {
        return new ExecutedRequestIds(
                enabled, new IdempotencyWindow(Fleet.decide(true).classes()), clock);
    }

    private static RequestState request(int requestClass, String id) {
        InferenceRequest parameters =
                InferenceRequest.builder("", 1, 1)
                        .clientRequestId(id)
                        .classIndex(requestClass)
                        .build();
        return new RequestState(1, parameters, RequestState.NO_DEADLINE);
    }

    @Test
    void onlyRequestsThatMayHaveHadASideEffectAreRemembered() {
        for (int requestClass : new int[] {Fleet.KEYED, Fleet.UNSAFE}) {
            String id = "r" + requestClass;
            executed.requestEnded(request(requestClass, id), false);
            assertFalse(executed.mayHaveRun(request(requestClass, id)), "never sent");
            RequestState sent = request(requestClass, id);
            sent.mayHaveRunSince = 0;
            executed.requestEnded(sent, false);
            assertTrue(executed.mayHaveRun(request(requestClass, id)));
            assertFalse(executed.mayHaveRun(request(requestClass, "other")));
        }
        executed.requestEnded(request(Fleet.SAFE, "safe"), true);
        assertFalse(executed.mayHaveRun(request(Fleet.SAFE, "safe")));
    }

    @Test
    void idsAreForgottenAfterTheRetention() {
        clock.advanceTo(0);
        executed.requestEnded(request(Fleet.UNSAFE, "a"), true);
        clock.advanceTo(9 * MINUTE);
        executed.requestEnded(request(Fleet.UNSAFE, "b"), true);
        assertTrue(executed.mayHaveRun(request(Fleet.UNSAFE, "a")));
        clock.advanceTo(11 * MINUTE);
        assertFalse(executed.mayHaveRun(request(Fleet.UNSAFE, "a")));
        assertTrue(executed.mayHaveRun(request(Fleet.UNSAFE, "b")));
    }

    @Test
    void theNumberOfIdsIsLimitedAndTheLatestAreKept() {
        for (int i = 0; i < MANY; i++) {
            executed.requestEnded(request(Fleet.UNSAFE, "r" + i), true);
        }
        assertFalse(executed.mayHaveRun(request(Fleet.UNSAFE, "r0")));
        assertTrue(executed.mayHaveRun(request(Fleet.UNSAFE, "r" + (MANY - 8000))));
    }

    @Test
    void idsThatEnginesDoNotKnowAreNotRemembered() {
        ExecutedRequestIds disabled = executedIds(false);
        disabled.requestEnded(request(Fleet.UNSAFE, "a"), true);
        assertFalse(disabled.mayHaveRun(request(Fleet.UNSAFE, "a")));
    }
}
