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
class HoldOfUnheardEngineTest extends AnsweringEnginesTestSupport {
    private static final long MICROS_PER_MILLI = 1000;
    private static final long LIMIT_MILLIS = Fleet.RELEASE / MICROS_PER_MILLI;
    private static final long SILENCE = 6 * Fleet.SECOND;
    private static final long SHORT_SILENCE = 3 * Fleet.RELEASE;

    /** Time for an engine that is reachable again to process its queue. */
    private static final long LATE_ARRIVALS_END = 6 * Fleet.RELEASE;

    private static final long PREFILL_MICROS = 5 * STEP;

    /** The engine whose link passes no data. */
    private String unheard;

    /**
     * The prefill arrives at an engine, is considered undelivered, and is sent to another engine.
     */
    private Command.StartPrefill prefillSentElsewhere() {
        client = router.requestArrived(now, Fleet.call(Fleet.SAFE, 10, BUDGET));
        Command.StartPrefill first = all(Command.StartPrefill.class).get(0);
        written(first);
        unheard = first.engine();
        silentEngines.add(unheard);
        passAnsweringTo(Fleet.RELEASE);
        assertEquals(
                2, all(Command.StartPrefill.class).size(), "prefill not sent to another engine");
        Command.StartPrefill second = all(Command.StartPrefill.class).get(1);
        assertNotEquals(unheard, second.engine());
        written(second);
        return second;
    }

    private void serve(Command.StartPrefill prefill) {
        passAnsweringTo(now + PREFILL_MICROS);
        questionAnswered(prefill.engine(), now - PREFILL_MICROS);
        router.prefillCompleted(now, prefill.attempt(), "", 0, ServerLoad.NONE);
        Command.StartDecode decode = all(Command.StartDecode.class).get(0);
        written(decode);
        passAnsweringTo(now + PREFILL_MICROS);
        questionAnswered(decode.engine(), now - PREFILL_MICROS);
        router.opaqueEventReceived(now, decode.attempt(), new Object());
        router.opaqueStreamCompleted(now, decode.attempt(), 0, ServerLoad.NONE);
        assertEquals(1, all(Command.FinishRequest.class).size());
    }

    private void engineIsHeardAgain() {
        silentEngines.remove(unheard);
        questionAnswered(unheard, now - STEP);
    }

    private void assertReleasedWithinEveryLimitFromNow() {
        long from = now;
        passAnsweringTo(from + SILENCE);
        long pause = longestPauseMillis(from, now);
        assertTrue(pause <= LIMIT_MILLIS, "no release sent for " + pause + " ms");
    }

    @Test
    void aRequestServedElsewhereIsReleasedWithinEveryLimitWhileItsFirstEngineIsUnheard() {
        serve(prefillSentElsewhere());
        assertReleasedWithinEveryLimitFromNow();
    }

    @Test
    void aRequestWhoseClientLeftIsReleasedWithinEveryLimitWhileItsFirstEngineIsUnheard() {
        prefillSentElsewhere();
        router.clientDisconnected(now, client);
        assertReleasedWithinEveryLimitFromNow();
    }

    /**
     * There is only one attempt: the client disconnects before the attempt is considered
     * undelivered.
     */
    @Test
    void aPrefillGivenUpAsItsEngineFellSilentIsReleasedWithinEveryLimitWhileThatIsUnheard() {
        client = router.requestArrived(now, Fleet.call(Fleet.SAFE, 10, BUDGET));
        Command.StartPrefill prefill = all(Command.StartPrefill.class).get(0);
        written(prefill);
        silentEngines.add(prefill.engine());
        passAnsweringTo(Fleet.RELEASE / 4);
        router.clientDisconnected(now, client);
        assertReleasedWithinEveryLimitFromNow();
    }

    @Test
    void releasesEndOnceAnEngineThatWasUnheardIsBackAndHasSettled() {
        serve(prefillSentElsewhere());
        passAnsweringTo(now + SHORT_SILENCE);
        engineIsHeardAgain();
        int before = releases();
        long heardAt = now;
        passAnsweringTo(heardAt + 2 * LATE_ARRIVALS_END);
        assertTrue(releases() > before, "no release sent after the engine was reachable again");
        assertTrue(lastReleaseAt() <= heardAt + LATE_ARRIVALS_END, "releases do not end");
        assertEquals(0, router.metrics().reservationCount());
    }

    /**
     * Releases for the unreachable engine may continue for a long time, but a process that shuts
     * down has to exit in time.
     */
    @Test
    void anExitDoesNotWaitForAnEngineThatIsUnheard() {
        serve(prefillSentElsewhere());
        passAnsweringTo(now + SHORT_SILENCE);
        assertEquals(0, router.metrics().releasableReservations());
    }
}
