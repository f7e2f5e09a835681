package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A prefill arrives, and then its own connection stops passing data while its engine still answers
 * on other connections. When the prefill completes, its state is held but its answer never arrives.
 * For the router, this looks the same as a long-running prefill.
 */
class HoldOfUnansweredPrefillTest extends AnsweringEnginesTestSupport {
    private static final long MICROS_PER_MILLI = 1000;
    private static final long LIMIT_MILLIS = Fleet.RELEASE / MICROS_PER_MILLI;
    private static final long RUNNING_MICROS = 3 * Fleet.RELEASE;

    private void prefillWritten() {
        client = router.requestArrived(now, Fleet.call(Fleet.UNSAFE, 10, BUDGET));
        reportWritten(all(Command.StartPrefill.class).get(0));
    }

    /**
     * The prefill may still be running, and a release would drop the state that it is about to
     * produce.
     */
    @Test
    void aPrefillThatIsNotAnsweredIsNotReleasedBeforeTheRouterStopsWaiting() {
        prefillWritten();
        advanceAnsweringTo(RUNNING_MICROS);
        assertEquals(List.of(), all(Command.CancelAttempt.class));
        assertEquals(0, releases());
    }

    @Test
    void aPrefillWhoseAnswerDoesNotComeIsReleasedWithinEveryLimitOnceTheRouterStopsWaiting() {
        prefillWritten();
        while (all(Command.CancelAttempt.class).isEmpty()) {
            assertTrue(now < 2 * BUDGET, "prefill not cancelled by the client's deadline");
            advanceAnsweringTo(now + STEP);
        }
        long stoppedAt = now;
        advanceAnsweringTo(stoppedAt + RUNNING_MICROS);
        long pause = longestPauseMillis(stoppedAt, now);
        assertTrue(pause <= LIMIT_MILLIS, "no release sent for " + pause + " ms");
    }

    /** The close is stuck in the silent connection, so the engine continues the prefill. */
    @Test
    void aPrefillCancelledOnASilentConnectionIsReleasedThoughItsEngineIsReachable() {
        prefillWritten();
        advanceAnsweringTo(Fleet.RELEASE);
        router.clientDisconnected(now, client);
        long leftAt = now;
        advanceAnsweringTo(leftAt + RUNNING_MICROS);
        long pause = longestPauseMillis(leftAt, now);
        assertTrue(pause <= LIMIT_MILLIS, "no release sent for " + pause + " ms");
    }
}
