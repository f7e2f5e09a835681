package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.record.DecisionListener;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingEvents.Arrived;
import sorrelhoist.routing.RoutingEvents.Event;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerLoad;
import sorrelhoist.routing.RoutingEvents.ServerState;

/** Tests the lifecycle of single requests; the test controls the time. */
class RouterTest extends RouterTestSupport {
    @Test
    void updatesAndCompleteListsRemoveEnginesThatLeft() {
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
    void aRequestIsPrefilledThenDecodedThenServed() {
        Command.StartDecode w = startedDecode(0, Fleet.SAFE, 10, 0);
        assertEquals("s1", w.prefillState().stateId());
        for (int i = 0; i < 3; i++) {
            router.tokenReceived(20_000 + i, w.attempt(), i, "t", null);
        }
        router.tokenStreamCompleted(30_000, w.attempt(), 3, 0, ServerLoad.NONE);
        assertEquals(3, all(Command.DeliverToken.class).size());
        assertEquals(new RequestResult.Served(3), last(Command.FinishRequest.class).result());
        assertEquals(0, all(Command.ReleaseReservation.class).size());
        assertNothingLeft();
    }

    @Test
    void lateReportsOfACancelledAttemptChangeNothing() {
        long client = router.requestArrived(0, Fleet.call(Fleet.SAFE, 10, 0));
        Command.StartPrefill r = last(Command.StartPrefill.class);
        router.clientDisconnected(5_000, client);
        int before = commands.size();
        router.prefillCompleted(6_000, r.attempt(), "s", 0, ServerLoad.NONE);
        router.attemptFailed(7_000, r.attempt(), Outcome.ERROR, 0, ServerLoad.NONE);
        router.tokenReceived(7_000, r.attempt(), 0, "t", null);
        assertEquals(before, commands.size());
        assertNothingLeft();
    }

    @Test
    void aBrokenStreamIsResumedFromItsLastToken() {
        Command.StartDecode w = startedDecode(0, Fleet.SAFE, 10, 0);
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
        assertNothingLeft();
    }

    @Test
    void aBrokenStreamOfAnUnsafeClassFailsAtOnce() {
        Command.StartDecode w = startedDecode(0, Fleet.UNSAFE, 10, 0);
        router.tokenReceived(20_000, w.attempt(), 0, "a ", null);
        router.attemptFailed(40_000, w.attempt(), Outcome.RESET, 0, ServerLoad.NONE);
        assertInstanceOf(RequestResult.Failed.class, last(Command.FinishRequest.class).result());
        assertEquals(1, all(Command.StartPrefill.class).size());
        assertNothingLeft();
    }

    @Test
    void whereStreamsAreNotResumedABrokenOneFailsAtOnce() {
        router = router(true, false);
        Command.StartDecode w = startedDecode(0, Fleet.SAFE, 10, 0);
        router.tokenReceived(20_000, w.attempt(), 0, "a ", null);
        router.attemptFailed(40_000, w.attempt(), Outcome.ERROR, 0, ServerLoad.NONE);
        assertInstanceOf(RequestResult.Failed.class, last(Command.FinishRequest.class).result());
        assertNothingLeft();
    }

    @Test
    void aSilentStreamTimesOutAccordingToObservedTokenGaps() {
        Command.StartDecode w = startedDecode(0, Fleet.SAFE, 100, 0);
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
        Command.StartDecode w = startedDecode(0, Fleet.SAFE, 10, 0);
        router.tokenReceived(20_000, w.attempt(), 0, "a", null);
        router.tokenReceived(21_000, w.attempt(), 2, "c", null);
        router.tokenReceived(22_000, w.attempt(), 1, "b", null);
        assertEquals(1, all(Command.DeliverToken.class).size());
        assertInstanceOf(RequestResult.Failed.class, last(Command.FinishRequest.class).result());
        assertEquals(1, all(Command.FinishRequest.class).size());
        assertNothingLeft();
    }

    @Test
    void anAnswerWithFewerTokensThanReportedFails() {
        router = router(true, false);
        Command.StartDecode w = startedDecode(0, Fleet.SAFE, 10, 0);
        router.tokenReceived(20_000, w.attempt(), 0, "a", null);
        router.tokenStreamCompleted(21_000, w.attempt(), 2, 0, ServerLoad.NONE);
        assertInstanceOf(RequestResult.Failed.class, last(Command.FinishRequest.class).result());
    }

    @Test
    void aStreamEndsBeforeItsClientsDeadline() {
        Command.StartDecode w = startedDecode(0, Fleet.SAFE, 10, Fleet.SECOND);
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
        assertNothingLeft();
    }

    @Test
    void aRequestIsAnsweredByItsDeadlineThoughEveryEngineIsSilent() {
        router.requestArrived(0, Fleet.call(Fleet.SAFE, 10, 0));
        while (router.nextTimerAt() < 4 * Fleet.SECOND + 1 && router.metrics().openRequests() > 0) {
            router.advance(router.nextTimerAt());
        }
        assertEquals(1, all(Command.FinishRequest.class).size());
        assertNothingLeft();
    }

    @Test
    void withoutCancellationADisconnectedClientsAttemptEndsByItself() {
        router = router(false, true);
        long client = router.requestArrived(0, Fleet.call(Fleet.SAFE, 10, 0));
        Command.StartPrefill r = last(Command.StartPrefill.class);
        router.clientDisconnected(5_000, client);
        assertEquals(0, all(Command.CancelAttempt.class).size());
        router.prefillCompleted(10_000, r.attempt(), "s1", 0, ServerLoad.NONE);
        assertEquals("s1", last(Command.ReleaseReservation.class).prefillState());
        assertNothingLeft();
    }

    @Test
    void aDrainingRouterRejectsWithARetryDelayAndFailsTheRestOnRequest() {
        Command.StartDecode w = startedDecode(0, Fleet.SAFE, 10, 0);
        router.tokenReceived(20_000, w.attempt(), 0, "a", null);
        router.startDraining();
        router.requestArrived(30_000, Fleet.call(Fleet.SAFE, 10, 0));
        assertTrue(
                ((RequestResult.Refused) last(Command.FinishRequest.class).result())
                                .retryAfterMicros()
                        > 0);
        router.failAllRequests(40_000, "the router is shutting down");
        assertInstanceOf(RequestResult.Failed.class, last(Command.FinishRequest.class).result());
        assertEquals(2, all(Command.FinishRequest.class).size());
        assertNothingLeft();
    }

    @Test
    void anEngineIsNotTimedOutWhileTheClientDoesNotRead() {
        Command.StartDecode w = startedDecode(0, Fleet.SAFE, 100, 0);
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
    void theRequestOfAStalledClientIsCancelledInBoundedTime() {
        Command.StartDecode w = startedDecode(0, Fleet.SAFE, 100, 0);
        router.tokenReceived(20_000, w.attempt(), 0, "t ", null);
        router.clientBackpressureChanged(30_000, 1, true);
        router.advance(30_000 + Fleet.STALL);
        assertInstanceOf(RequestResult.Stalled.class, last(Command.FinishRequest.class).result());
        assertEquals(w.attempt(), last(Command.CancelAttempt.class).attempt());
        assertNothingLeft();
    }

    @Test
    void onlyListedPhaseTransitionsAreAllowed() {
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
    void aRequestWhoseArrivalCouldNotBeProcessedFailsAfterItsDeadline() {
        DecisionListener failing =
                new DecisionListener() {
                    @Override
                    public void onDecision(long at, Event event, List<Action> actions) {
                        if (event instanceof Arrived) {
                            throw new IllegalStateException("injected failure");
                        }
                    }
                };
        Router faulty = new Router(Fleet.settings(true, true, 7), commands::add, failing);
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
    void aCommandThatFailsDoesNotPreventOthers() {
        boolean[] failed = new boolean[1];
        Router faulty =
                new Router(
                        Fleet.settings(true, true, 7),
                        order -> {
                            if (order instanceof Command.CancelAttempt && !failed[0]) {
                                failed[0] = true;
                                throw new IllegalStateException("injected failure");
                            }
                            commands.add(order);
                        });
        faulty.endpointsUpdated(0, ListUpdateKind.COMPLETE, Fleet.servers());
        for (int i = 0; i < 3; i++) {
            faulty.requestArrived(i, Fleet.call(Fleet.SAFE, 10, Fleet.SECOND));
        }
        for (long now = 0; now < 3 * Fleet.SECOND; now += 10_000) {
            try {
                faulty.advance(now);
            } catch (IllegalStateException e) {
                // Thrown once by the failing command handler above.
            }
        }
        assertTrue(failed[0]);
        assertEquals(3, all(Command.FinishRequest.class).size());
        assertEquals(0, faulty.metrics().openRequests());
    }

    @Test
    void aKeyedRetryThatMayHaveRunCarriesASendDeadline() {
        Command.StartDecode first = startedDecode(0, Fleet.KEYED, 10, 0);
        assertEquals(
                Long.MAX_VALUE,
                first.sendByMicros(),
                "the first attempt got a time limit for sending");
        router.attemptFailed(20_000, first.attempt(), Outcome.RESET, 0, ServerLoad.NONE);
        router.prefillCompleted(
                30_000, last(Command.StartPrefill.class).attempt(), "s2", 0, ServerLoad.NONE);
        Command.StartDecode second = last(Command.StartDecode.class);
        assertNotEquals(first.attempt(), second.attempt());
        // The first decode was sent at 10 ms, when the prefill had completed. The idempotency
        // window of the class is two seconds, and the transport may be delayed for 150 ms between
        // reading its clock and sending the bytes.
        assertEquals(10_000 + 2 * Fleet.SECOND - 150_000, second.sendByMicros());
    }

    @Test
    void aRetryThatNeverRanOrIsIdempotentHasNoSendDeadline() {
        Command.StartDecode neverRan = startedDecode(0, Fleet.KEYED, 10, 0);
        router.attemptFailed(
                20_000, neverRan.attempt(), Outcome.CONNECT_FAILED, 0, ServerLoad.NONE);
        assertEquals(Long.MAX_VALUE, last(Command.StartDecode.class).sendByMicros());
        Command.StartDecode safe = startedDecode(100_000, Fleet.SAFE, 10, 0);
        router.attemptFailed(120_000, safe.attempt(), Outcome.TIMED_OUT, 0, ServerLoad.NONE);
        router.prefillCompleted(
                130_000, last(Command.StartPrefill.class).attempt(), "s2", 0, ServerLoad.NONE);
        assertEquals(Long.MAX_VALUE, last(Command.StartDecode.class).sendByMicros());
    }

    @Test
    void anAttemptThatTimesOutBeforeItWasWrittenNeverRan() {
        Command.StartDecode w = startedDecode(0, Fleet.KEYED, 10, 0);
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
                "a request that never ran got an idempotency window");
    }
}
