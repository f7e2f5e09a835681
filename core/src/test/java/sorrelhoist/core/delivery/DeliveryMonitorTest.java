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

    private final List<String> livenessChecks = new ArrayList<>();
    private final List<String> delivered = new ArrayList<>();
    private final List<String> unconfirmed = new ArrayList<>();
    private final DeliveryMonitor<String> monitor =
            new DeliveryMonitor<>(
                    POLICY,
                    new DeliveryMonitor.Listener<>() {
                        @Override
                        public void checkLiveness(String engine) {
                            livenessChecks.add(engine);
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

    private void advanceTo(long time) {
        while (now < time) {
            now = Math.min(time, now + STEP);
            monitor.advance(now);
        }
    }

    private void writeAttempt() {
        delivery.connecting();
        monitor.written("a", delivery, now, now);
    }

    @Test
    void attemptIsAssumedDeliveredIfTransportDoesNotReportWrites() {
        assertTrue(delivery.isDelivered());
        assertEquals(Evidence.ASSUMED, delivery.evidence());
        delivery.connecting();
        assertFalse(delivery.isWritten());
    }

    @Test
    void writeAloneIsNoEvidence() {
        writeAttempt();
        assertEquals(State.WRITTEN, delivery.state());
        assertEquals(1, monitor.watchedCount());
    }

    @Test
    void answerToLaterCallConfirmsDelivery() {
        writeAttempt();
        monitor.callAnswered("e", now + 1);
        assertEquals(Evidence.ENGINE_RESPONSIVE, delivery.evidence());
        assertEquals(List.of("a"), delivered);
        advanceTo(2 * LIMIT);
        assertEquals(List.of(), livenessChecks);
        assertEquals(List.of(), unconfirmed);
    }

    @Test
    void lateAnswerToEarlierCallIsNoEvidence() {
        writeAttempt();
        long writtenAt = now;
        advanceTo(10 * STEP);
        monitor.callAnswered("e", BEFORE);
        monitor.callAnswered("e", writtenAt);
        assertEquals(State.WRITTEN, delivery.state());
        advanceTo(LIMIT);
        assertEquals(List.of("a"), unconfirmed);
    }

    @Test
    void answerOfAnotherEngineIsNoEvidence() {
        writeAttempt();
        monitor.callAnswered("f", now + LIMIT);
        assertEquals(State.WRITTEN, delivery.state());
    }

    @Test
    void engineIsCheckedBeforeAttemptIsUnconfirmed() {
        writeAttempt();
        advanceTo(POLICY.livenessCheckAfterMicros() - STEP);
        assertEquals(List.of(), livenessChecks);
        advanceTo(POLICY.livenessCheckAfterMicros());
        assertEquals(List.of("e"), livenessChecks);
        advanceTo(POLICY.confirmAfterMicros() - STEP);
        assertEquals(List.of(), unconfirmed);
        advanceTo(POLICY.confirmAfterMicros());
        assertEquals(List.of("a"), unconfirmed);
        assertTrue(delivery.wasReportedUnconfirmed());
    }

    @Test
    void answerToLivenessCheckConfirmsDelivery() {
        writeAttempt();
        advanceTo(POLICY.livenessCheckAfterMicros() + STEP);
        monitor.callAnswered("e", now);
        monitor.livenessCheckEnded("e", now);
        advanceTo(2 * LIMIT);
        assertEquals(List.of("a"), delivered);
        assertEquals(List.of(), unconfirmed);
    }

    @Test
    void answerToCallBeforeLivenessCheckIsNoEvidence() {
        writeAttempt();
        advanceTo(POLICY.livenessCheckAfterMicros());
        monitor.callAnswered("e", BEFORE);
        advanceTo(POLICY.confirmAfterMicros());
        assertEquals(List.of("a"), unconfirmed);
    }

    @Test
    void uncheckableEngineIsNotSilentBeforeLimit() {
        writeAttempt();
        for (long at = STEP; at < LIMIT; at += STEP) {
            advanceTo(at);
            monitor.livenessCheckNotSent("e", now);
        }
        assertEquals(List.of(), unconfirmed);
        assertEquals(0, monitor.livenessChecksSent());
        advanceTo(LIMIT + POLICY.minAttemptMicros());
        assertEquals(List.of("a"), unconfirmed);
    }

    @Test
    void lateCheckWaitsForUnreadSocketData() {
        writeAttempt();
        advanceTo(POLICY.livenessCheckAfterMicros());
        now = POLICY.confirmAfterMicros() + 150_000;
        monitor.advance(now);
        assertEquals(List.of(), unconfirmed);
        monitor.callAnswered("e", POLICY.livenessCheckAfterMicros());
        advanceTo(2 * LIMIT);
        assertEquals(List.of(), unconfirmed);
        assertEquals(List.of("a"), delivered);
    }

    @Test
    void lateRouterStillReportsSilentEngine() {
        writeAttempt();
        advanceTo(POLICY.livenessCheckAfterMicros());
        now = POLICY.confirmAfterMicros() + 150_000;
        monitor.advance(now);
        advanceTo(now + POLICY.minAttemptMicros());
        assertEquals(List.of("a"), unconfirmed);
    }

    @Test
    void secondAttemptIsCheckedAtOnce() {
        now = POLICY.confirmAfterMicros();
        delivery.connecting();
        monitor.written("a", delivery, 0, now);
        monitor.advance(now);
        assertEquals(List.of("e"), livenessChecks);
        advanceTo(POLICY.confirmAfterMicros() + POLICY.minAttemptMicros());
        assertEquals(List.of("a"), unconfirmed);
    }

    @Test
    void reportedAttemptMayStillBeConfirmed() {
        writeAttempt();
        advanceTo(LIMIT);
        monitor.callAnswered("e", now);
        assertEquals(List.of("a"), unconfirmed);
        assertEquals(List.of("a"), delivered);
    }

    @Test
    void limitIsClampedToSupportedRange() {
        for (long limit : new long[] {0, 1, Long.MAX_VALUE}) {
            DeliveryPolicy policy = new DeliveryPolicy(limit);
            assertTrue(policy.livenessCheckAfterMicros() > 0);
            assertTrue(policy.minAttemptMicros() > 0);
            assertTrue(policy.livenessCheckAfterMicros() < policy.confirmAfterMicros());
            assertTrue(policy.confirmAfterMicros() < policy.limitMicros());
        }
    }

    @Test
    void endedAttemptIsNotReported() {
        writeAttempt();
        monitor.ended("a", delivery);
        advanceTo(2 * LIMIT);
        assertEquals(List.of(), livenessChecks);
        assertEquals(List.of(), unconfirmed);
        assertEquals(0, monitor.watchedCount());
    }

    private static AttemptDelivery undelivered() {
        AttemptDelivery undelivered = new AttemptDelivery("e");
        undelivered.connecting();
        return undelivered;
    }

    @Test
    void engineOfAbandonedAttemptIsCheckedOnlyIfSilent() {
        monitor.awaitEngine("e", delivery, now);
        advanceTo(POLICY.livenessCheckAfterMicros() - STEP);
        assertTrue(monitor.callAnswered("e", now));
        advanceTo(10 * LIMIT);
        assertEquals(List.of(), livenessChecks);
        monitor.awaitEngine("e", delivery, now);
        advanceTo(now + POLICY.livenessCheckAfterMicros());
        assertEquals(List.of("e"), livenessChecks);
    }

    @Test
    void timedOutLivenessCheckIsRepeatedAtOnce() {
        monitor.awaitEngine("e", undelivered(), now);
        advanceTo(POLICY.livenessCheckTimeoutMicros());
        monitor.livenessCheckEnded("e", now);
        advanceTo(now + STEP);
        assertEquals(2, livenessChecks.size());
    }

    @Test
    void awaitedEngineIsCheckedUntilItResponds() {
        monitor.awaitEngine("e", undelivered(), now);
        assertEquals(1, livenessChecks.size());
        monitor.livenessCheckEnded("e", now);
        advanceTo(LIMIT);
        assertEquals(2, livenessChecks.size());
        assertFalse(
                monitor.callAnswered("e", BEFORE),
                "the call was written before the engine was awaited");
        assertTrue(monitor.callAnswered("e", now));
        assertFalse(
                monitor.callAnswered("e", now + LIMIT),
                "the awaited response is reported only once");
        monitor.livenessCheckEnded("e", now);
        advanceTo(10 * LIMIT);
        assertEquals(2, livenessChecks.size());
        assertEquals(0, monitor.watchedEngines().size());
    }

    @Test
    void removedEngineIsNoLongerAwaited() {
        monitor.awaitEngine("e", undelivered(), now);
        monitor.engineRemoved("e");
        monitor.livenessCheckEnded("e", now);
        advanceTo(10 * LIMIT);
        assertEquals(1, livenessChecks.size());
    }
}
