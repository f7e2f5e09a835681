package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class StreamTimeoutsTest {
    private static final long DEFAULT_TIMEOUT = 2_500_000;

    private static Attempt attempt() {
        RequestState request =
                new RequestState(1, Fleet.call(Fleet.SAFE, 10, 0), RequestState.NO_DEADLINE);
        return new Attempt(request, new AttemptId(2, 0), "w0", 0, false, 0);
    }

    private static StreamTimeouts timeoutsFromGaps() {
        return new StreamTimeouts(StreamSettings.ofTokens(true, Fleet.STALL), 1);
    }

    @Test
    void aFixedTimeoutCountsFromTheLatestToken() {
        StreamTimeouts timeouts =
                new StreamTimeouts(
                        StreamSettings.ofOpaqueEvents(
                                true, new SilenceLimits(900_000, 900_000), Fleet.STALL),
                        1);
        Attempt attempt = attempt();
        attempt.lastTokenAt = 100;
        assertEquals(900_100, timeouts.deadAt(attempt));
    }

    /** Guards against a limit that a slow engine passes, or that a client must not wait for. */
    @Test
    void aStreamThatCannotBeResumedMayBeSilentForAlmostFiveSeconds() {
        StreamTimeouts timeouts =
                new StreamTimeouts(
                        StreamSettings.ofOpaqueEvents(
                                false, SilenceLimits.ofOpaqueEvents(false), Fleet.STALL),
                        1);
        Attempt attempt = attempt();
        attempt.lastTokenAt = 10 * Fleet.SECOND;
        attempt.lastBytesAt = attempt.lastTokenAt;
        long silence = timeouts.deadAt(attempt) - attempt.lastTokenAt;
        assertTrue(silence > 4_500_000 && silence < 4_900_000, silence + " us");
        attempt.lastBytesAt = 18 * Fleet.SECOND;
        assertEquals(20 * Fleet.SECOND, timeouts.deadAt(attempt));
    }

    /** Guards against a cut of a stream that becomes ten times slower in its middle. */
    @Test
    void gapsOfAnEngineThatSlowsDownTenTimesAreBelowTheTimeout() {
        for (long gap = 1000; gap <= 500_000; gap += 1000) {
            TokenGapEstimator gaps = new TokenGapEstimator(1);
            for (int i = 0; i < 1000; i++) {
                gaps.record(0, gap);
            }
            assertTrue(gaps.silenceTimeoutMicros(0) > 10 * gap, gap + " us");
        }
    }

    @Test
    void aStreamIsNeverDeadWhileItsClientDoesNotRead() {
        Attempt attempt = attempt();
        attempt.request.blockedSince = 5;
        assertEquals(Long.MAX_VALUE, timeoutsFromGaps().deadAt(attempt));
    }

    @Test
    void theTimeoutFollowsTheGapsOnceEnoughWereRecorded() {
        StreamTimeouts timeouts = timeoutsFromGaps();
        Attempt attempt = attempt();
        for (int i = 1; i < 20; i++) {
            timeouts.tokenReceived(attempt, 100_000);
        }
        assertEquals(DEFAULT_TIMEOUT, timeouts.deadAt(attempt));
        timeouts.tokenReceived(attempt, 100_000);
        long deadAt = timeouts.deadAt(attempt);
        assertEquals(2_500_000.0, (double) deadAt, 500_000.0);
        assertEquals(TokenGapEstimator.MIN_TIMEOUT_MICROS, timeouts.nextCheckAt(attempt, 0));
    }

    @Test
    void theTimeoutHasAMinimum() {
        TokenGapEstimator gaps = new TokenGapEstimator(1);
        for (int i = 0; i < 20; i++) {
            gaps.record(0, 10);
        }
        assertEquals(TokenGapEstimator.MIN_TIMEOUT_MICROS, gaps.silenceTimeoutMicros(0));
    }
}
