package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class IdempotencyWindowTest {
    private final IdempotencyWindow window =
            new IdempotencyWindow(Fleet.settings(true, true, 7).routing().classes());

    private static RequestState request(int classIndex, long mayHaveRunFrom) {
        RequestState request =
                new RequestState(1, Fleet.call(classIndex, 10, 0), RequestState.NO_DEADLINE);
        request.mayHaveRunSince = mayHaveRunFrom;
        return request;
    }

    @Test
    void aKeyedRequestThatMayHaveRunMustBeSentBeforeItsWindowEnds() {
        assertEquals(
                100 + 2 * Fleet.SECOND - 150_000, window.sendByMicros(request(Fleet.KEYED, 100)));
    }

    @Test
    void otherRequestsHaveNoLimit() {
        assertEquals(Long.MAX_VALUE, window.sendByMicros(request(Fleet.KEYED, RequestState.NEVER)));
        assertEquals(Long.MAX_VALUE, window.sendByMicros(request(Fleet.SAFE, 100)));
    }
}
