package sorrelhoist.core.delivery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.delivery.AttemptDelivery.Evidence;
import sorrelhoist.core.delivery.AttemptDelivery.State;

/**
 * Tests the evidence for deliveries, and the reports about attempts without evidence, in virtual
 * time.
 */
class DeliveryMonitorTest {
    private static final long LIMIT = 500_000;
    private static final DeliveryPolicy POLICY = new DeliveryPolicy(LIMIT);
    private static final long STEP = 1000;
    private static final long BEFORE = -STEP;

    private final List<String> asked = new ArrayList<>();
    private final List<String> delivered = new ArrayList<>();
    private final List<String> unconfirmed = new ArrayList<>();
    private final DeliveryMonitor<String> monitor =
            new DeliveryMonitor<>(
                    POLICY,
                    new DeliveryMonitor.Listener<>() {
                        @Override
                        public void ask(String engine) {
                            asked.add(engine);
                        }

                        @Override
                        public void delivered(String attempt) {
                            delivered.add(attempt);
                        }

                        @Override
                        public void unconfirmed(String attempt) {
                            unconfirmed.add(attempt);
                        }
                    });
    private final AttemptDelivery delivery = new AttemptDelivery("e");
    private long now;

    private void passTo(long time) {
        while (now < time) {
            now = Math.min(time, now + STEP);
            monitor.advance(now);
        }
    }

    private void written() {
        delivery.connecting();
        monitor.written("a", delivery, now, now);
    }

    @Test
    void anAttemptOfATransportThatCannotTellCountsAsDelivered() {
        assertTrue(delivery.isDelivered());
        assertEquals(Evidence.ASSUMED, delivery.evidence());
        delivery.connecting();
        assertFalse(delivery.isWritten());
    }

    @Test
    void aWriteAloneShowsNothing() {
        written();
        assertEquals(State.WRITTEN, delivery.state());
        assertEquals(1, monitor.watchedCount());
    }

    @Test
    void theAnswerToACallThatWasWrittenLaterShowsIt() {
        written();
        monitor.callAnswered("e", now + 1);
        assertEquals(Evidence.ENGINE_RESPONSIVE, delivery.evidence());
        assertEquals(List.of("a"), delivered);
        passTo(2 * LIMIT);
        assertEquals(List.of(), asked);
        assertEquals(List.of(), unconfirmed);
    }

    @Test
    void theAnswerToACallThatWasWrittenBeforeShowsNothingHoweverLateItComes() {
        written();
        long writtenAt = now;
        passTo(10 * STEP);
        monitor.callAnswered("e", BEFORE);
        monitor.callAnswered("e", writtenAt);
        assertEquals(State.WRITTEN, delivery.state());
        passTo(LIMIT);
        assertEquals(List.of("a"), unconfirmed);
    }

    @Test
    void theAnswerOfAnotherEngineShowsNothing() {
        written();
        monitor.callAnswered("f", now + LIMIT);
        assertEquals(State.WRITTEN, delivery.state());
    }

    @Test
    void anEngineIsAskedBeforeItsSilenceCounts() {
        written();
        passTo(POLICY.askAfterMicros() - STEP);
        assertEquals(List.of(), asked);
        passTo(POLICY.askAfterMicros());
        assertEquals(List.of("e"), asked);
        passTo(POLICY.confirmAfterMicros() - STEP);
        assertEquals(List.of(), unconfirmed);
        passTo(POLICY.confirmAfterMicros());
        assertEquals(List.of("a"), unconfirmed);
        assertTrue(delivery.wasReportedUnconfirmed());
    }

    @Test
    void theAnswerToAQuestionShowsIt() {
        written();
        passTo(POLICY.askAfterMicros() + STEP);
        monitor.callAnswered("e", now);
        monitor.questionEnded("e", now);
        passTo(2 * LIMIT);
        assertEquals(List.of("a"), delivered);
        assertEquals(List.of(), unconfirmed);
    }

    @Test
    void theAnswerToAnotherCallThatWasWrittenBeforeTheQuestionIsNoAnswer() {
        written();
        passTo(POLICY.askAfterMicros());
        monitor.callAnswered("e", BEFORE);
        passTo(POLICY.confirmAfterMicros());
        assertEquals(List.of("a"), unconfirmed);
    }

    @Test
    void anEngineThatCannotBeAskedIsNotTakenForSilentBeforeTheLimit() {
        written();
        for (long at = STEP; at < LIMIT; at += STEP) {
            passTo(at);
            monitor.questionNotAsked("e", now);
        }
        assertEquals(List.of(), unconfirmed);
        assertEquals(0, monitor.questionsAsked());
        passTo(LIMIT + POLICY.attemptMicros());
        assertEquals(List.of("a"), unconfirmed);
    }

    @Test
    void aCheckThatIsLateWithTheRouterWaitsForWhatLiesInItsSockets() {
        written();
        passTo(POLICY.askAfterMicros());
        now = POLICY.confirmAfterMicros() + 150_000;
        monitor.advance(now);
        assertEquals(List.of(), unconfirmed);
        monitor.callAnswered("e", POLICY.askAfterMicros());
        passTo(2 * LIMIT);
        assertEquals(List.of(), unconfirmed);
        assertEquals(List.of("a"), delivered);
    }

    @Test
    void aLateRouterStillReportsASilentEngine() {
        written();
        passTo(POLICY.askAfterMicros());
        now = POLICY.confirmAfterMicros() + 150_000;
        monitor.advance(now);
        passTo(now + POLICY.attemptMicros());
        assertEquals(List.of("a"), unconfirmed);
    }

    @Test
    void aSecondAttemptForWhatIsHeldIsAskedForAtOnce() {
        now = POLICY.confirmAfterMicros();
        delivery.connecting();
        monitor.written("a", delivery, 0, now);
        monitor.advance(now);
        assertEquals(List.of("e"), asked);
        passTo(POLICY.confirmAfterMicros() + POLICY.attemptMicros());
        assertEquals(List.of("a"), unconfirmed);
    }

    @Test
    void anAttemptThatWasReportedMayStillTurnOutToHaveArrived() {
        written();
        passTo(LIMIT);
        monitor.callAnswered("e", now);
        assertEquals(List.of("a"), unconfirmed);
        assertEquals(List.of("a"), delivered);
    }

    @Test
    void limitsThatAreNotSensibleLeaveTimeToAskAndToAnswer() {
        for (long limit : new long[] {0, 1, Long.MAX_VALUE}) {
            DeliveryPolicy policy = new DeliveryPolicy(limit);
            assertTrue(policy.askAfterMicros() > 0);
            assertTrue(policy.attemptMicros() > 0);
            assertTrue(policy.askAfterMicros() < policy.confirmAfterMicros());
            assertTrue(policy.confirmAfterMicros() < policy.limitMicros());
        }
    }

    @Test
    void anAttemptThatEndedIsNotReported() {
        written();
        monitor.ended("a", delivery);
        passTo(2 * LIMIT);
        assertEquals(List.of(), asked);
        assertEquals(List.of(), unconfirmed);
        assertEquals(0, monitor.watchedCount());
    }

    private static AttemptDelivery undelivered() {
        AttemptDelivery undelivered = new AttemptDelivery("e");
        undelivered.connecting();
        return undelivered;
    }

    @Test
    void anEngineThatHadAGivenUpAttemptIsAskedOnlyWhereItDoesNotSpeakByItself() {
        monitor.awaitEngine("e", delivery, now);
        passTo(POLICY.askAfterMicros() - STEP);
        assertTrue(monitor.callAnswered("e", now));
        passTo(10 * LIMIT);
        assertEquals(List.of(), asked);
        monitor.awaitEngine("e", delivery, now);
        passTo(now + POLICY.askAfterMicros());
        assertEquals(List.of("e"), asked);
    }

    @Test
    void aQuestionThatTimedOutIsAskedAgainWithoutAGap() {
        monitor.awaitEngine("e", undelivered(), now);
        passTo(POLICY.questionTimeoutMicros());
        monitor.questionEnded("e", now);
        passTo(now + STEP);
        assertEquals(2, asked.size());
    }

    @Test
    void anAwaitedEngineIsAskedAgainUntilItIsHeard() {
        monitor.awaitEngine("e", undelivered(), now);
        assertEquals(1, asked.size());
        monitor.questionEnded("e", now);
        passTo(LIMIT);
        assertEquals(2, asked.size());
        assertFalse(
                monitor.callAnswered("e", BEFORE),
                "the call was written before the engine was awaited");
        assertTrue(monitor.callAnswered("e", now));
        assertFalse(
                monitor.callAnswered("e", now + LIMIT),
                "the awaited response is reported only once");
        monitor.questionEnded("e", now);
        passTo(10 * LIMIT);
        assertEquals(2, asked.size());
        assertEquals(0, monitor.watchedEngines().size());
    }

    @Test
    void anEngineThatLeftTheListIsNotAwaitedAnyLonger() {
        monitor.awaitEngine("e", undelivered(), now);
        monitor.engineRemoved("e");
        monitor.questionEnded("e", now);
        passTo(10 * LIMIT);
        assertEquals(1, asked.size());
    }
}
