package sorrelhoist.core.life;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.Routing.*;
import sorrelhoist.core.record.Tap;

/** One request at a time through each of its ways, with time in the test's hands. */
class RouterTest {
    private final List<Command> orders = new ArrayList<>();
    private Router router = router(true, true);

    private Router router(boolean cancel, boolean resumes) {
        orders.clear();
        Router r = new Router(Fleet.settings(cancel, resumes, 7), orders::add);
        r.members(0, ListForm.COMPLETE, Fleet.servers());
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

    private Command.Write placed(long at, int cls, int tokens, long timeout) {
        router.arrived(at, Fleet.call(cls, tokens, timeout));
        Command.Read read = last(Command.Read.class);
        router.readDone(at + 10_000, read.attempt(), "s1", 0, Load.NONE);
        return last(Command.Write.class);
    }

    private void nothingLeft() {
        assertEquals(0, router.open());
        assertEquals(0, router.known());
        assertEquals(0, router.attemptsOut());
        assertEquals(0, router.held());
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
            router.members(i, ListForm.UPDATE, List.of(left, fresh));
        }
        assertEquals(Fleet.servers().size() + 1, router.engines());
        router.members(2000, ListForm.COMPLETE, Fleet.servers());
        assertEquals(Fleet.servers().size(), router.engines());
    }

    @Test
    void aRequestIsReadThenWrittenThenServed() {
        Command.Write w = placed(0, Fleet.SAFE, 10, 0);
        assertEquals("s1", w.state().state());
        for (int i = 0; i < 3; i++) {
            router.token(20_000 + i, w.attempt(), i, "t", null);
        }
        router.streamDone(30_000, w.attempt(), 3, 0, Load.NONE);
        assertEquals(3, all(Command.Deliver.class).size());
        assertEquals(new Answer.Served(3), last(Command.Finish.class).answer());
        assertEquals(0, all(Command.Release.class).size());
        nothingLeft();
    }

    @Test
    void aClientThatLeavesBetweenReadAndWriteLeavesNothingHeld() {
        long client = router.arrived(0, Fleet.call(Fleet.SAFE, 10, 0));
        Command.Write w = placedOf(client);
        router.clientGone(20_000, client);
        assertEquals(w.attempt(), last(Command.Drop.class).attempt());
        assertEquals("s1", last(Command.Release.class).state());
        assertEquals(0, all(Command.Finish.class).size());
        nothingLeft();
    }

    private Command.Write placedOf(long client) {
        router.readDone(10_000, last(Command.Read.class).attempt(), "s1", 0, Load.NONE);
        return last(Command.Write.class);
    }

    @Test
    void aReadGivenUpOnIsReleasedAtItsReader() {
        long client = router.arrived(0, Fleet.call(Fleet.SAFE, 10, 0));
        Command.Read r = last(Command.Read.class);
        router.clientGone(5_000, client);
        Command.Release release = last(Command.Release.class);
        assertEquals(r.engine(), release.engine());
        assertEquals("", release.state());
        assertEquals(r.attempt().number(), release.upTo());
        nothingLeft();
    }

    @Test
    void lateWordOfADroppedAttemptChangesNothing() {
        long client = router.arrived(0, Fleet.call(Fleet.SAFE, 10, 0));
        Command.Read r = last(Command.Read.class);
        router.clientGone(5_000, client);
        int before = orders.size();
        router.readDone(6_000, r.attempt(), "s", 0, Load.NONE);
        router.attemptLost(7_000, r.attempt(), Outcome.ERROR, 0, Load.NONE);
        router.token(7_000, r.attempt(), 0, "t", null);
        assertEquals(before, orders.size());
        nothingLeft();
    }

    /**
     * Decide goes back to a reader after a writer's error, with the first state still at its
     * reader.
     */
    @Test
    void aStateIsLetGoWhenThePromptIsReadAnew() {
        Command.Write w = placed(0, Fleet.SAFE, 10, 0);
        router.attemptLost(20_000, w.attempt(), Outcome.ERROR, 0, Load.NONE);
        assertEquals("s1", last(Command.Release.class).state());
        assertEquals(2, all(Command.Read.class).size());
        router.readDone(30_000, last(Command.Read.class).attempt(), "s2", 100, Load.NONE);
        assertEquals("s2", last(Command.Write.class).state().state());
    }

    @Test
    void aBrokenStreamGoesOnFromItsLastToken() {
        Command.Write w = placed(0, Fleet.SAFE, 10, 0);
        router.token(20_000, w.attempt(), 0, "a ", null);
        router.token(30_000, w.attempt(), 1, "b ", null);
        router.attemptLost(40_000, w.attempt(), Outcome.RESET, 0, Load.NONE);
        Command.Read again = last(Command.Read.class);
        assertNotEquals(w.attempt().request(), again.attempt().request());
        assertTrue(again.prompt().endsWith("a b "));
        assertEquals(102, again.promptTokens());
        router.readDone(50_000, again.attempt(), "s2", 100, Load.NONE);
        Command.Write on = last(Command.Write.class);
        assertEquals(2, on.fromToken());
        router.token(60_000, on.attempt(), 2, "c ", null);
        router.streamDone(70_000, on.attempt(), 3, 0, Load.NONE);
        assertEquals(
                List.of(0, 1, 2),
                all(Command.Deliver.class).stream().map(Command.Deliver::index).toList());
        assertEquals(1, all(Command.Finish.class).size());
        assertEquals(new Answer.Served(3), last(Command.Finish.class).answer());
        nothingLeft();
    }

    @Test
    void aBrokenStreamOfAnUnsafeClassFailsAtOnce() {
        Command.Write w = placed(0, Fleet.UNSAFE, 10, 0);
        router.token(20_000, w.attempt(), 0, "a ", null);
        router.attemptLost(40_000, w.attempt(), Outcome.RESET, 0, Load.NONE);
        assertInstanceOf(Answer.Failed.class, last(Command.Finish.class).answer());
        assertEquals(1, all(Command.Read.class).size());
        nothingLeft();
    }

    @Test
    void whereStreamsAreNotResumedABrokenOneFailsAtOnce() {
        router = router(true, false);
        Command.Write w = placed(0, Fleet.SAFE, 10, 0);
        router.token(20_000, w.attempt(), 0, "a ", null);
        router.attemptLost(40_000, w.attempt(), Outcome.ERROR, 0, Load.NONE);
        assertInstanceOf(Answer.Failed.class, last(Command.Finish.class).answer());
        nothingLeft();
    }

    @Test
    void aSilentStreamIsTakenForDeadAfterWhatWasSeen() {
        Command.Write w = placed(0, Fleet.SAFE, 100, 0);
        long t = 20_000;
        for (int i = 0; i < 50; i++, t += 20_000) {
            router.token(t, w.attempt(), i, "t ", null);
            router.advance(t);
        }
        long last = t - 20_000;
        router.advance(last + 700_000);
        assertEquals(0, all(Command.Drop.class).size());
        router.advance(last + 1_000_000);
        assertEquals(w.attempt(), last(Command.Drop.class).attempt());
        assertTrue(last(Command.Read.class).prompt().endsWith("t "));
    }

    @Test
    void tokensOutOfOrderAndAfterTheEndNeverReachTheClient() {
        router = router(true, false);
        Command.Write w = placed(0, Fleet.SAFE, 10, 0);
        router.token(20_000, w.attempt(), 0, "a", null);
        router.token(21_000, w.attempt(), 2, "c", null);
        router.token(22_000, w.attempt(), 1, "b", null);
        assertEquals(1, all(Command.Deliver.class).size());
        assertInstanceOf(Answer.Failed.class, last(Command.Finish.class).answer());
        assertEquals(1, all(Command.Finish.class).size());
        nothingLeft();
    }

    @Test
    void anAnswerThatEndsShortOfItsCountIsNoAnswer() {
        router = router(true, false);
        Command.Write w = placed(0, Fleet.SAFE, 10, 0);
        router.token(20_000, w.attempt(), 0, "a", null);
        router.streamDone(21_000, w.attempt(), 2, 0, Load.NONE);
        assertInstanceOf(Answer.Failed.class, last(Command.Finish.class).answer());
    }

    @Test
    void aStreamEndsBeforeItsClientsTimeIsUp() {
        Command.Write w = placed(0, Fleet.SAFE, 10, Fleet.SECOND);
        router.token(20_000, w.attempt(), 0, "a", null);
        for (long t = 100_000; t < 980_000; t += 100_000) {
            router.advance(t);
        }
        assertEquals(0, all(Command.Finish.class).size());
        router.advance(Fleet.SECOND - Fleet.MARGIN);
        Answer.Failed failed =
                assertInstanceOf(Answer.Failed.class, last(Command.Finish.class).answer());
        assertTrue(failed.late());
        nothingLeft();
    }

    @Test
    void everySilentEngineMeansAnAnswerByTheDeadline() {
        router.arrived(0, Fleet.call(Fleet.SAFE, 10, 0));
        while (router.nextAlarm() < 4 * Fleet.SECOND + 1 && router.open() > 0) {
            router.advance(router.nextAlarm());
        }
        assertEquals(1, all(Command.Finish.class).size());
        nothingLeft();
    }

    @Test
    void whereCancelsAreNotAllowedAGoneClientsAttemptEndsByItself() {
        router = router(false, true);
        long client = router.arrived(0, Fleet.call(Fleet.SAFE, 10, 0));
        Command.Read r = last(Command.Read.class);
        router.clientGone(5_000, client);
        assertEquals(0, all(Command.Drop.class).size());
        router.readDone(10_000, r.attempt(), "s1", 0, Load.NONE);
        assertEquals("s1", last(Command.Release.class).state());
        nothingLeft();
    }

    @Test
    void aDrainingRouterRefusesWithAHintAndEndsTheRestWhenTold() {
        Command.Write w = placed(0, Fleet.SAFE, 10, 0);
        router.token(20_000, w.attempt(), 0, "a", null);
        router.drainNow();
        router.arrived(30_000, Fleet.call(Fleet.SAFE, 10, 0));
        assertTrue(((Answer.Refused) last(Command.Finish.class).answer()).backoffMicros() > 0);
        router.endAll(40_000, "the edge stops");
        assertInstanceOf(Answer.Failed.class, last(Command.Finish.class).answer());
        assertEquals(2, all(Command.Finish.class).size());
        nothingLeft();
    }

    @Test
    void anEngineIsNotToBlameForAClientThatDoesNotRead() {
        Command.Write w = placed(0, Fleet.SAFE, 100, 0);
        router.token(20_000, w.attempt(), 0, "t ", null);
        router.clientBlocked(30_000, 1, true);
        router.advance(2_900_000);
        assertEquals(0, all(Command.Drop.class).size());
        router.clientBlocked(2_950_000, 1, false);
        router.advance(4_000_000);
        assertEquals(0, all(Command.Drop.class).size());
        router.advance(6_000_000);
        assertEquals(1, all(Command.Drop.class).size());
    }

    @Test
    void aClientThatTakesNothingIsGivenUpInBoundedTime() {
        Command.Write w = placed(0, Fleet.SAFE, 100, 0);
        router.token(20_000, w.attempt(), 0, "t ", null);
        router.clientBlocked(30_000, 1, true);
        router.advance(30_000 + Fleet.STALL);
        assertInstanceOf(Answer.Stalled.class, last(Command.Finish.class).answer());
        assertEquals(w.attempt(), last(Command.Drop.class).attempt());
        nothingLeft();
    }

    @Test
    void noStepOutsideTheTableIsTaken() {
        assertThrows(IllegalStateException.class, () -> Phase.WAITING.after(Phase.Step.READ_DONE));
        assertThrows(IllegalStateException.class, () -> Phase.STREAMING.after(Phase.Step.REFUSE));
        assertThrows(IllegalStateException.class, () -> Phase.ENDED.after(Phase.Step.TOKEN));
        assertEquals(Phase.HOLDING, Phase.PLACED.after(Phase.Step.WRITE_LOST));
    }

    @Test
    void aPlaceThatComesTooLateIsLetGo() {
        router.placeAnswered(5, 99, "w1", true, "p1");
        assertEquals("p1", last(Command.Release.class).place());
    }

    @Test
    void aRequestWhoseArrivalCouldNotBeTakenIsAnsweredByTheEndOfItsTime() {
        Tap failing =
                new Tap() {
                    @Override
                    public void told(long at, Event event, List<Action> actions) {
                        if (event instanceof Arrived) {
                            throw new IllegalStateException("a fault of the program's own");
                        }
                    }
                };
        Router faulty = new Router(Fleet.settings(true, true, 7), orders::add, failing);
        faulty.members(0, ListForm.COMPLETE, Fleet.servers());
        assertThrows(
                IllegalStateException.class,
                () -> faulty.arrived(0, Fleet.call(Fleet.SAFE, 10, Fleet.SECOND)));
        assertEquals(1, faulty.open());
        faulty.advance(Fleet.SECOND + Fleet.SECOND / 2);
        assertInstanceOf(Answer.Failed.class, last(Command.Finish.class).answer());
        assertEquals(1, all(Command.Finish.class).size());
        assertEquals(0, faulty.open());
    }

    @Test
    void anOrderThatCannotBeCarriedOutTakesNoOtherWithIt() {
        boolean[] failed = new boolean[1];
        Router faulty =
                new Router(
                        Fleet.settings(true, true, 7),
                        order -> {
                            if (order instanceof Command.Drop && !failed[0]) {
                                failed[0] = true;
                                throw new IllegalStateException("a fault of the program's own");
                            }
                            orders.add(order);
                        });
        faulty.members(0, ListForm.COMPLETE, Fleet.servers());
        for (int i = 0; i < 3; i++) {
            faulty.arrived(i, Fleet.call(Fleet.SAFE, 10, Fleet.SECOND));
        }
        for (long now = 0; now < 3 * Fleet.SECOND; now += 10_000) {
            try {
                faulty.advance(now);
            } catch (IllegalStateException e) {
                // Once, as above.
            }
        }
        assertTrue(failed[0]);
        assertEquals(3, all(Command.Finish.class).size());
        assertEquals(0, faulty.open());
    }

    @Test
    void aRepeatThatMayHaveASecondEffectSaysByWhenItHasToLeave() {
        Command.Write first = placed(0, Fleet.KEYED, 10, 0);
        assertEquals(Long.MAX_VALUE, first.sendBy(), "the first attempt may go out at any time");
        router.attemptLost(20_000, first.attempt(), Outcome.RESET, 0, Load.NONE);
        router.readDone(30_000, last(Command.Read.class).attempt(), "s2", 0, Load.NONE);
        Command.Write second = last(Command.Write.class);
        assertNotEquals(first.attempt(), second.attempt());
        // Sent at 10 ms, when the read had ended; the window of the class is two seconds, and the
        // carrier may be held up
        // for 150 ms between its clock and its bytes.
        assertEquals(10_000 + 2 * Fleet.SECOND - 150_000, second.sendBy());
    }

    @Test
    void aRepeatOfWhatNeverRanOrIsHarmlessMayLeaveAtAnyTime() {
        Command.Write neverRan = placed(0, Fleet.KEYED, 10, 0);
        router.attemptLost(20_000, neverRan.attempt(), Outcome.CONNECT_FAILED, 0, Load.NONE);
        assertEquals(Long.MAX_VALUE, last(Command.Write.class).sendBy());
        Command.Write safe = placed(100_000, Fleet.SAFE, 10, 0);
        router.attemptLost(120_000, safe.attempt(), Outcome.TIMED_OUT, 0, Load.NONE);
        router.readDone(130_000, last(Command.Read.class).attempt(), "s2", 0, Load.NONE);
        assertEquals(Long.MAX_VALUE, last(Command.Write.class).sendBy());
    }

    @Test
    void aReleaseThatItsHolderDoesNotAnswerIsSentAgainUntilItDoes() {
        long client = router.arrived(0, Fleet.call(Fleet.SAFE, 10, 0));
        placedOf(client);
        router.clientGone(20_000, client);
        assertEquals(1, all(Command.Release.class).size());
        router.advance(20_000 + Fleet.RELEASE / 4);
        Command.Release again = last(Command.Release.class);
        assertEquals(2, all(Command.Release.class).size());
        assertEquals("s1", again.state());
        assertEquals(all(Command.Release.class).get(0).engine(), again.engine());
        router.releaseEnded(20_000 + Fleet.RELEASE / 4, again.id(), true);
        assertEquals(0, router.reserved());
        router.advance(10 * Fleet.RELEASE);
        assertEquals(2, all(Command.Release.class).size());
        assertEquals(0, router.releasesExpired());
    }

    @Test
    void aReleaseThatItsHolderNeverAnswersIsReportedAndForgotten() {
        long client = router.arrived(0, Fleet.call(Fleet.SAFE, 10, 0));
        placedOf(client);
        router.clientGone(20_000, client);
        for (long now = 20_000; now < 10 * Fleet.RELEASE; now += 10_000) {
            router.advance(now);
        }
        assertEquals(1, all(Command.ReleaseExpired.class).size());
        assertEquals(1, router.releasesExpired());
        assertEquals(0, router.reserved());
    }

    /** Its reader may only be out of the writer's reach. */
    @Test
    void aStateThatAWriterCouldNotFetchIsReleasedAtItsReader() {
        Command.Write w = placed(0, Fleet.SAFE, 10, 0);
        router.attemptLost(20_000, w.attempt(), Outcome.FULL, 1, Load.NONE);
        assertEquals("s1", last(Command.Release.class).state());
        assertEquals(w.state().engine(), last(Command.Release.class).engine());
    }

    @Test
    void anAttemptThatIsCutBeforeItWasWrittenNeverRan() {
        Command.Write w = placed(0, Fleet.KEYED, 10, 0);
        router.attemptConnecting(10_000, w.attempt());
        while (all(Command.Drop.class).isEmpty()) {
            router.advance(router.nextAlarm());
        }
        assertEquals(w.attempt(), last(Command.Drop.class).attempt());
        Command.Read again = last(Command.Read.class);
        assertNotEquals(0, again.attempt().number());
        router.readDone(3 * Fleet.SECOND, again.attempt(), "s2", 0, Load.NONE);
        assertEquals(
                Long.MAX_VALUE,
                last(Command.Write.class).sendBy(),
                "no window runs for what never ran");
    }

    @Test
    void aPlaceThatMayBeHeldIsReleasedWhereItsRequestIsOver() {
        router.placeUnknown(5, 99, "w1", "p1");
        assertEquals("p1", last(Command.Release.class).place());
        assertEquals("w1", last(Command.Release.class).engine());
    }
}
