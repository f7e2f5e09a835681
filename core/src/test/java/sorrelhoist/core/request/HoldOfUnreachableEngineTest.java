package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingEvents.ServerLoad;

/**
 * A prefill arrives, and then the link to its engine stops passing data. The unreachable engine
 * continues and holds the resulting state, which any reachable engine can release.
 */
class HoldOfUnreachableEngineTest extends AnsweringEnginesTestSupport {
    private static final long MICROS_PER_MILLI = 1000;
    private static final long LIMIT_MILLIS = Fleet.RELEASE / MICROS_PER_MILLI;
    private static final long SILENCE = 6 * Fleet.SECOND;
    private static final long SHORT_SILENCE = 3 * Fleet.RELEASE;

    /** Time for an engine that is reachable again to process its queue. */
    private static final long LATE_ARRIVALS_END = 6 * Fleet.RELEASE;

    private static final long PREFILL_MICROS = 5 * STEP;

    /** The engine whose link passes no data. */
    private String unreachableEngine;

    /**
     * The prefill arrives at an engine, is considered undelivered, and is sent to another engine.
     */
    private Command.StartPrefill prefillSentElsewhere() {
        client = router.requestArrived(now, Fleet.call(Fleet.SAFE, 10, BUDGET));
        Command.StartPrefill first = all(Command.StartPrefill.class).get(0);
        reportWritten(first);
        unreachableEngine = first.engine();
        silentEngines.add(unreachableEngine);
        advanceAnsweringTo(Fleet.RELEASE);
        assertEquals(
                2, all(Command.StartPrefill.class).size(), "prefill not sent to another engine");
        Command.StartPrefill second = all(Command.StartPrefill.class).get(1);
        assertNotEquals(unreachableEngine, second.engine());
        reportWritten(second);
        return second;
    }

    private void serve(Command.StartPrefill prefill) {
        advanceAnsweringTo(now + PREFILL_MICROS);
        reportCallAnswered(prefill.engine(), now - PREFILL_MICROS);
        router.prefillCompleted(now, prefill.attempt(), "", 0, ServerLoad.NONE);
        Command.StartDecode decode = all(Command.StartDecode.class).get(0);
        reportWritten(decode);
        advanceAnsweringTo(now + PREFILL_MICROS);
        reportCallAnswered(decode.engine(), now - PREFILL_MICROS);
        router.opaqueEventReceived(now, decode.attempt(), new Object());
        router.opaqueStreamCompleted(now, decode.attempt(), 0, ServerLoad.NONE);
        assertEquals(1, all(Command.FinishRequest.class).size());
    }

    private void reconnectEngine() {
        silentEngines.remove(unreachableEngine);
        reportCallAnswered(unreachableEngine, now - STEP);
    }

    private void assertReleasedWithinEveryLimitFromNow() {
        long from = now;
        advanceAnsweringTo(from + SILENCE);
        long pause = longestPauseMillis(from, now);
        assertTrue(pause <= LIMIT_MILLIS, "no release sent for " + pause + " ms");
    }

    @Test
    void aRequestServedElsewhereIsReleasedWithinEveryLimitWhileItsFirstEngineIsUnreachable() {
        serve(prefillSentElsewhere());
        assertReleasedWithinEveryLimitFromNow();
    }

    @Test
    void aRequestOfADisconnectedClientIsReleasedWithinEveryLimitWhileItsFirstEngineIsUnreachable() {
        prefillSentElsewhere();
        router.clientDisconnected(now, client);
        assertReleasedWithinEveryLimitFromNow();
    }

    /**
     * There is only one attempt: the client disconnects before the attempt is considered
     * undelivered.
     */
    @Test
    void aCancelledPrefillIsReleasedWithinEveryLimitWhileItsEngineIsUnreachable() {
        client = router.requestArrived(now, Fleet.call(Fleet.SAFE, 10, BUDGET));
        Command.StartPrefill prefill = all(Command.StartPrefill.class).get(0);
        reportWritten(prefill);
        silentEngines.add(prefill.engine());
        advanceAnsweringTo(Fleet.RELEASE / 4);
        router.clientDisconnected(now, client);
        assertReleasedWithinEveryLimitFromNow();
    }

    @Test
    void releasesEndOnceAnUnreachableEngineIsBackAndHasProcessedItsQueue() {
        serve(prefillSentElsewhere());
        advanceAnsweringTo(now + SHORT_SILENCE);
        reconnectEngine();
        int before = releases();
        long heardAt = now;
        advanceAnsweringTo(heardAt + 2 * LATE_ARRIVALS_END);
        assertTrue(releases() > before, "no release sent after the engine was reachable again");
        assertTrue(lastReleaseAt() <= heardAt + LATE_ARRIVALS_END, "releases do not end");
        assertEquals(0, router.metrics().reservationCount());
    }

    /**
     * Releases for the unreachable engine may continue for a long time, but a process that shuts
     * down has to exit in time.
     */
    @Test
    void shutdownDoesNotWaitForAnUnreachableEngine() {
        serve(prefillSentElsewhere());
        advanceAnsweringTo(now + SHORT_SILENCE);
        assertEquals(0, router.metrics().releasableReservations());
    }
}
