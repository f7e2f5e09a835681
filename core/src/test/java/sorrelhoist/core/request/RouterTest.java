package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.record.DecisionListener;
import sorrelhoist.routing.Routing.*;

/** One request at a time through each of its ways, with time in the test's hands. */
class RouterTest {
    private final List<Command> orders = new ArrayList<>();
    private Router router = router(true, true);

    private Router router(boolean cancel, boolean resumes) {
        orders.clear();
        Router r = new Router(Fleet.settings(cancel, resumes, 7), orders::add);
        r.endpointsUpdated(0, ListUpdateKind.COMPLETE, Fleet.servers());
        return r;
    }

    private <T extends Command> T last(Class<T> type) {
        List<T> all = all(type);
        assertTrue(!all.isEmpty(), "no " + type.getSimpleName());
        return all.get(all.size() - 1);
    }

    private <T extends Command> List<T> all(Class<T> type) {
        return orders.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private Command.StartDecode placed(long at, int cls, int tokens, long timeout) {
        router.requestArrived(at, Fleet.call(cls, tokens, timeout));
        Command.StartPrefill read = last(Command.StartPrefill.class);
        router.prefillCompleted(at + 10_000, read.attempt(), "s1", 0, ServerLoad.NONE);
        return last(Command.StartDecode.class);
    }

    private void nothingLeft() {
        assertEquals(0, router.metrics().openRequests());
        assertEquals(0, router.metrics().knownRequests());
        assertEquals(0, router.metrics().runningAttempts());
        assertEquals(0, router.metrics().wantedReservations());
    }

    @Test
    void enginesThatLeftAreForgottenHoweverTheListSaysIt() {
        Server first = Fleet.servers().get(0);
        for (int i = 0; i < 1000; i++) {
            Server fresh =
                    new Server(
                            "n" + i,
                            first.zone(),
                            first.kind(),
                            first.cell(),
                            ServerState.SERVING,
                            1,
                            0);
            Server left =
                    new Server(
                            "n" + (i - 1),
                            first.zone(),
                            first.kind(),
                            first.cell(),
                            ServerState.GONE,
                            1,
                            0);
            router.endpointsUpdated(i, ListUpdateKind.UPDATE, List.of(left, fresh));
        }
        assertEquals(Fleet.servers().size() + 1, router.metrics().engineCount());
        router.endpointsUpdated(2000, ListUpdateKind.COMPLETE, Fleet.servers());
        assertEquals(Fleet.servers().size(), router.metrics().engineCount());
    }

    @Test
    void aRequestIsReadThenWrittenThenServed() {
        Command.StartDecode w = placed(0, Fleet.SAFE, 10, 0);
        assertEquals("s1", w.prefillState().stateId());
        for (int i = 0; i < 3; i++) {
            router.tokenReceived(20_000 + i, w.attempt(), i, "t", null);
        }
        router.tokenStreamCompleted(30_000, w.attempt(), 3, 0, ServerLoad.NONE);
        assertEquals(3, all(Command.DeliverToken.class).size());
        assertEquals(new RequestResult.Served(3), last(Command.FinishRequest.class).result());
        assertEquals(0, all(Command.ReleaseReservation.class).size());
        nothingLeft();
    }

    @Test
    void aClientThatLeavesBetweenReadAndWriteLeavesNothingHeld() {
        long client = router.requestArrived(0, Fleet.call(Fleet.SAFE, 10, 0));
        Command.StartDecode w = placedOf(client);
        router.clientDisconnected(20_000, client);
        assertEquals(w.attempt(), last(Command.CancelAttempt.class).attempt());
        assertEquals("s1", last(Command.ReleaseReservation.class).prefillState());
        assertEquals(0, all(Command.FinishRequest.class).size());
        nothingLeft();
    }

    private Command.StartDecode placedOf(long client) {
        router.prefillCompleted(
                10_000, last(Command.StartPrefill.class).attempt(), "s1", 0, ServerLoad.NONE);
        return last(Command.StartDecode.class);
    }

    @Test
    void aReadGivenUpOnIsReleasedAtItsReader() {
        long client = router.requestArrived(0, Fleet.call(Fleet.SAFE, 10, 0));
        Command.StartPrefill r = last(Command.StartPrefill.class);
        router.clientDisconnected(5_000, client);
        Command.ReleaseReservation release = last(Command.ReleaseReservation.class);
        assertEquals(r.engine(), release.engine());
        assertEquals("", release.prefillState());
        assertEquals(r.attempt().number(), release.upToAttempt());
        nothingLeft();
    }

    @Test
    void lateWordOfADroppedAttemptChangesNothing() {
        long client = router.requestArrived(0, Fleet.call(Fleet.SAFE, 10, 0));
        Command.StartPrefill r = last(Command.StartPrefill.class);
        router.clientDisconnected(5_000, client);
        int before = orders.size();
        router.prefillCompleted(6_000, r.attempt(), "s", 0, ServerLoad.NONE);
        router.attemptFailed(7_000, r.attempt(), Outcome.ERROR, 0, ServerLoad.NONE);
        router.tokenReceived(7_000, r.attempt(), 0, "t", null);
        assertEquals(before, orders.size());
        nothingLeft();
    }

    /**
     * Decide goes back to a reader after a writer's error, with the first state still at its
     * reader.
     */
    @Test
    void aStateIsLetGoWhenThePromptIsReadAnew() {
        Command.StartDecode w = placed(0, Fleet.SAFE, 10, 0);
        router.attemptFailed(20_000, w.attempt(), Outcome.ERROR, 0, ServerLoad.NONE);
        assertEquals("s1", last(Command.ReleaseReservation.class).prefillState());
        assertEquals(2, all(Command.StartPrefill.class).size());
        router.prefillCompleted(
                30_000, last(Command.StartPrefill.class).attempt(), "s2", 100, ServerLoad.NONE);
        assertEquals("s2", last(Command.StartDecode.class).prefillState().stateId());
    }

    @Test
    void aBrokenStreamGoesOnFromItsLastToken() {
        Command.StartDecode w = placed(0, Fleet.SAFE, 10, 0);
        router.tokenReceived(20_000, w.attempt(), 0, "a ", null);
        router.tokenReceived(30_000, w.attempt(), 1, "b ", null);
        router.attemptFailed(40_000, w.attempt(), Outcome.RESET, 0, ServerLoad.NONE);
        Command.StartPrefill again = last(Command.StartPrefill.class);
        assertNotEquals(w.attempt().requestId(), again.attempt().requestId());
        assertTrue(again.prompt().endsWith("a b "));
        assertEquals(102, again.promptTokens());
        router.prefillCompleted(50_000, again.attempt(), "s2", 100, ServerLoad.NONE);
        Command.StartDecode on = last(Command.StartDecode.class);
        assertEquals(2, on.firstTokenIndex());
        router.tokenReceived(60_000, on.attempt(), 2, "c ", null);
        router.tokenStreamCompleted(70_000, on.attempt(), 3, 0, ServerLoad.NONE);
        assertEquals(
                List.of(0, 1, 2),
                all(Command.DeliverToken.class).stream().map(Command.DeliverToken::index).toList());
        assertEquals(1, all(Command.FinishRequest.class).size());
        assertEquals(new RequestResult.Served(3), last(Command.FinishRequest.class).result());
        nothingLeft();
    }

    @Test
    void aBrokenStreamOfAnUnsafeClassFailsAtOnce() {
        Command.StartDecode w = placed(0, Fleet.UNSAFE, 10, 0);
        router.tokenReceived(20_000, w.attempt(), 0, "a ", null);
        router.attemptFailed(40_000, w.attempt(), Outcome.RESET, 0, ServerLoad.NONE);
        assertInstanceOf(RequestResult.Failed.class, last(Command.FinishRequest.class).result());
        assertEquals(1, all(Command.StartPrefill.class).size());
        nothingLeft();
    }

    @Test
    void whereStreamsAreNotResumedABrokenOneFailsAtOnce() {
        router = router(true, false);
        Command.StartDecode w = placed(0, Fleet.SAFE, 10, 0);
        router.tokenReceived(20_000, w.attempt(), 0, "a ", null);
        router.attemptFailed(40_000, w.attempt(), Outcome.ERROR, 0, ServerLoad.NONE);
        assertInstanceOf(RequestResult.Failed.class, last(Command.FinishRequest.class).result());
        nothingLeft();
    }

    @Test
    void aSilentStreamIsTakenForDeadAfterWhatWasSeen() {
        Command.StartDecode w = placed(0, Fleet.SAFE, 100, 0);
        long t = 20_000;
        for (int i = 0; i < 50; i++, t += 20_000) {
            router.tokenReceived(t, w.attempt(), i, "t ", null);
            router.advance(t);
        }
        long last = t - 20_000;
        router.advance(last + 700_000);
        assertEquals(0, all(Command.CancelAttempt.class).size());
        router.advance(last + 1_000_000);
        assertEquals(w.attempt(), last(Command.CancelAttempt.class).attempt());
        assertTrue(last(Command.StartPrefill.class).prompt().endsWith("t "));
    }

    @Test
    void tokensOutOfOrderAndAfterTheEndNeverReachTheClient() {
        router = router(true, false);
        Command.StartDecode w = placed(0, Fleet.SAFE, 10, 0);
        router.tokenReceived(20_000, w.attempt(), 0, "a", null);
        router.tokenReceived(21_000, w.attempt(), 2, "c", null);
        router.tokenReceived(22_000, w.attempt(), 1, "b", null);
        assertEquals(1, all(Command.DeliverToken.class).size());
        assertInstanceOf(RequestResult.Failed.class, last(Command.FinishRequest.class).result());
        assertEquals(1, all(Command.FinishRequest.class).size());
        nothingLeft();
    }

    @Test
    void anAnswerThatEndsShortOfItsCountIsNoAnswer() {
        router = router(true, false);
        Command.StartDecode w = placed(0, Fleet.SAFE, 10, 0);
        router.tokenReceived(20_000, w.attempt(), 0, "a", null);
        router.tokenStreamCompleted(21_000, w.attempt(), 2, 0, ServerLoad.NONE);
        assertInstanceOf(RequestResult.Failed.class, last(Command.FinishRequest.class).result());
    }

    @Test
    void aStreamEndsBeforeItsClientsTimeIsUp() {
        Command.StartDecode w = placed(0, Fleet.SAFE, 10, Fleet.SECOND);
        router.tokenReceived(20_000, w.attempt(), 0, "a", null);
        for (long t = 100_000; t < 980_000; t += 100_000) {
            router.advance(t);
        }
        assertEquals(0, all(Command.FinishRequest.class).size());
        router.advance(Fleet.SECOND - Fleet.MARGIN);
        RequestResult.Failed failed =
                assertInstanceOf(
                        RequestResult.Failed.class, last(Command.FinishRequest.class).result());
        assertTrue(failed.deadlineExceeded());
        nothingLeft();
    }

    @Test
    void everySilentEngineMeansAnAnswerByTheDeadline() {
        router.requestArrived(0, Fleet.call(Fleet.SAFE, 10, 0));
        while (router.nextTimerAt() < 4 * Fleet.SECOND + 1 && router.metrics().openRequests() > 0) {
            router.advance(router.nextTimerAt());
        }
        assertEquals(1, all(Command.FinishRequest.class).size());
        nothingLeft();
    }

    @Test
    void whereCancelsAreNotAllowedAGoneClientsAttemptEndsByItself() {
        router = router(false, true);
        long client = router.requestArrived(0, Fleet.call(Fleet.SAFE, 10, 0));
        Command.StartPrefill r = last(Command.StartPrefill.class);
        router.clientDisconnected(5_000, client);
        assertEquals(0, all(Command.CancelAttempt.class).size());
        router.prefillCompleted(10_000, r.attempt(), "s1", 0, ServerLoad.NONE);
        assertEquals("s1", last(Command.ReleaseReservation.class).prefillState());
        nothingLeft();
    }

    @Test
    void aDrainingRouterRefusesWithAHintAndEndsTheRestWhenTold() {
        Command.StartDecode w = placed(0, Fleet.SAFE, 10, 0);
        router.tokenReceived(20_000, w.attempt(), 0, "a", null);
        router.startDraining();
        router.requestArrived(30_000, Fleet.call(Fleet.SAFE, 10, 0));
        assertTrue(
                ((RequestResult.Refused) last(Command.FinishRequest.class).result())
                                .retryAfterMicros()
                        > 0);
        router.failAllRequests(40_000, "the edge stops");
        assertInstanceOf(RequestResult.Failed.class, last(Command.FinishRequest.class).result());
        assertEquals(2, all(Command.FinishRequest.class).size());
        nothingLeft();
    }

    @Test
    void anEngineIsNotToBlameForAClientThatDoesNotRead() {
        Command.StartDecode w = placed(0, Fleet.SAFE, 100, 0);
        router.tokenReceived(20_000, w.attempt(), 0, "t ", null);
        router.clientBackpressureChanged(30_000, 1, true);
        router.advance(2_900_000);
        assertEquals(0, all(Command.CancelAttempt.class).size());
        router.clientBackpressureChanged(2_950_000, 1, false);
        router.advance(4_000_000);
        assertEquals(0, all(Command.CancelAttempt.class).size());
        router.advance(6_000_000);
        assertEquals(1, all(Command.CancelAttempt.class).size());
    }

    @Test
    void aClientThatTakesNothingIsGivenUpInBoundedTime() {
        Command.StartDecode w = placed(0, Fleet.SAFE, 100, 0);
        router.tokenReceived(20_000, w.attempt(), 0, "t ", null);
        router.clientBackpressureChanged(30_000, 1, true);
        router.advance(30_000 + Fleet.STALL);
        assertInstanceOf(RequestResult.Stalled.class, last(Command.FinishRequest.class).result());
        assertEquals(w.attempt(), last(Command.CancelAttempt.class).attempt());
        nothingLeft();
    }

    @Test
    void noStepOutsideTheTableIsTaken() {
        assertThrows(
                IllegalStateException.class,
                () -> RequestPhase.WAITING.after(RequestPhase.Transition.PREFILL_COMPLETED));
        assertThrows(
                IllegalStateException.class,
                () -> RequestPhase.STREAMING.after(RequestPhase.Transition.REJECTED));
        assertThrows(
                IllegalStateException.class,
                () -> RequestPhase.COMPLETED.after(RequestPhase.Transition.TOKEN));
        assertEquals(
                RequestPhase.PREFILLED,
                RequestPhase.DECODE_PENDING.after(RequestPhase.Transition.DECODE_FAILED));
    }

    @Test
    void aPlaceThatComesTooLateIsLetGo() {
        router.decodeSlotAnswered(5, 99, "w1", true, "p1");
        assertEquals("p1", last(Command.ReleaseReservation.class).decodeSlot());
    }

    @Test
    void aRequestWhoseArrivalCouldNotBeTakenIsAnsweredByTheEndOfItsTime() {
        DecisionListener failing =
                new DecisionListener() {
                    @Override
                    public void onDecision(long at, Event event, List<Action> actions) {
                        if (event instanceof Arrived) {
                            throw new IllegalStateException("a fault of the program's own");
                        }
                    }
                };
        Router faulty = new Router(Fleet.settings(true, true, 7), orders::add, failing);
        faulty.endpointsUpdated(0, ListUpdateKind.COMPLETE, Fleet.servers());
        assertThrows(
                IllegalStateException.class,
                () -> faulty.requestArrived(0, Fleet.call(Fleet.SAFE, 10, Fleet.SECOND)));
        assertEquals(1, faulty.metrics().openRequests());
        faulty.advance(Fleet.SECOND + Fleet.SECOND / 2);
        assertInstanceOf(RequestResult.Failed.class, last(Command.FinishRequest.class).result());
        assertEquals(1, all(Command.FinishRequest.class).size());
        assertEquals(0, faulty.metrics().openRequests());
    }

    @Test
    void anOrderThatCannotBeCarriedOutTakesNoOtherWithIt() {
        boolean[] failed = new boolean[1];
        Router faulty =
                new Router(
                        Fleet.settings(true, true, 7),
                        order -> {
                            if (order instanceof Command.CancelAttempt && !failed[0]) {
                                failed[0] = true;
                                throw new IllegalStateException("a fault of the program's own");
                            }
                            orders.add(order);
                        });
        faulty.endpointsUpdated(0, ListUpdateKind.COMPLETE, Fleet.servers());
        for (int i = 0; i < 3; i++) {
            faulty.requestArrived(i, Fleet.call(Fleet.SAFE, 10, Fleet.SECOND));
        }
        for (long now = 0; now < 3 * Fleet.SECOND; now += 10_000) {
            try {
                faulty.advance(now);
            } catch (IllegalStateException e) {
                // Once, as above.
            }
        }
        assertTrue(failed[0]);
        assertEquals(3, all(Command.FinishRequest.class).size());
        assertEquals(0, faulty.metrics().openRequests());
    }

    @Test
    void aRepeatThatMayHaveASecondEffectSaysByWhenItHasToLeave() {
        Command.StartDecode first = placed(0, Fleet.KEYED, 10, 0);
        assertEquals(
                Long.MAX_VALUE, first.sendByMicros(), "the first attempt may go out at any time");
        router.attemptFailed(20_000, first.attempt(), Outcome.RESET, 0, ServerLoad.NONE);
        router.prefillCompleted(
                30_000, last(Command.StartPrefill.class).attempt(), "s2", 0, ServerLoad.NONE);
        Command.StartDecode second = last(Command.StartDecode.class);
        assertNotEquals(first.attempt(), second.attempt());
        // Sent at 10 ms, when the read had ended; the window of the class is two seconds, and the
        // carrier may be held up
        // for 150 ms between its clock and its bytes.
        assertEquals(10_000 + 2 * Fleet.SECOND - 150_000, second.sendByMicros());
    }

    @Test
    void aRepeatOfWhatNeverRanOrIsHarmlessMayLeaveAtAnyTime() {
        Command.StartDecode neverRan = placed(0, Fleet.KEYED, 10, 0);
        router.attemptFailed(
                20_000, neverRan.attempt(), Outcome.CONNECT_FAILED, 0, ServerLoad.NONE);
        assertEquals(Long.MAX_VALUE, last(Command.StartDecode.class).sendByMicros());
        Command.StartDecode safe = placed(100_000, Fleet.SAFE, 10, 0);
        router.attemptFailed(120_000, safe.attempt(), Outcome.TIMED_OUT, 0, ServerLoad.NONE);
        router.prefillCompleted(
                130_000, last(Command.StartPrefill.class).attempt(), "s2", 0, ServerLoad.NONE);
        assertEquals(Long.MAX_VALUE, last(Command.StartDecode.class).sendByMicros());
    }

    @Test
    void aReleaseThatItsHolderDoesNotAnswerIsSentAgainUntilItDoes() {
        long client = router.requestArrived(0, Fleet.call(Fleet.SAFE, 10, 0));
        placedOf(client);
        router.clientDisconnected(20_000, client);
        assertEquals(1, all(Command.ReleaseReservation.class).size());
        router.advance(20_000 + Fleet.RELEASE / 4);
        Command.ReleaseReservation again = last(Command.ReleaseReservation.class);
        assertEquals(2, all(Command.ReleaseReservation.class).size());
        assertEquals("s1", again.prefillState());
        assertEquals(all(Command.ReleaseReservation.class).get(0).engine(), again.engine());
        router.releaseCompleted(20_000 + Fleet.RELEASE / 4, again.releaseId(), true);
        assertEquals(0, router.metrics().reservationCount());
        router.advance(10 * Fleet.RELEASE);
        assertEquals(2, all(Command.ReleaseReservation.class).size());
        assertEquals(0, router.metrics().expiredReleases());
    }

    @Test
    void aReleaseThatItsHolderNeverAnswersIsReportedAndForgotten() {
        long client = router.requestArrived(0, Fleet.call(Fleet.SAFE, 10, 0));
        placedOf(client);
        router.clientDisconnected(20_000, client);
        for (long now = 20_000; now < 10 * Fleet.RELEASE; now += 10_000) {
            router.advance(now);
        }
        assertEquals(1, all(Command.ReportExpiredRelease.class).size());
        assertEquals(1, router.metrics().expiredReleases());
        assertEquals(0, router.metrics().reservationCount());
    }

    /** Its reader may only be out of the writer's reach. */
    @Test
    void aStateThatAWriterCouldNotFetchIsReleasedAtItsReader() {
        Command.StartDecode w = placed(0, Fleet.SAFE, 10, 0);
        router.attemptFailed(20_000, w.attempt(), Outcome.FULL, 1, ServerLoad.NONE);
        assertEquals("s1", last(Command.ReleaseReservation.class).prefillState());
        assertEquals(w.prefillState().engine(), last(Command.ReleaseReservation.class).engine());
    }

    @Test
    void anAttemptThatIsCutBeforeItWasWrittenNeverRan() {
        Command.StartDecode w = placed(0, Fleet.KEYED, 10, 0);
        router.attemptConnecting(10_000, w.attempt());
        while (all(Command.CancelAttempt.class).isEmpty()) {
            router.advance(router.nextTimerAt());
        }
        assertEquals(w.attempt(), last(Command.CancelAttempt.class).attempt());
        Command.StartPrefill again = last(Command.StartPrefill.class);
        assertNotEquals(0, again.attempt().number());
        router.prefillCompleted(3 * Fleet.SECOND, again.attempt(), "s2", 0, ServerLoad.NONE);
        assertEquals(
                Long.MAX_VALUE,
                last(Command.StartDecode.class).sendByMicros(),
                "no window runs for what never ran");
    }

    @Test
    void aPlaceThatMayBeHeldIsReleasedWhereItsRequestIsOver() {
        router.decodeSlotUnknown(5, 99, "w1", "p1");
        assertEquals("p1", last(Command.ReleaseReservation.class).decodeSlot());
        assertEquals("w1", last(Command.ReleaseReservation.class).engine());
    }
}
