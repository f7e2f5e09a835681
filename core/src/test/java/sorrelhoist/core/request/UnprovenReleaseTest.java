package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * A release lets go of nothing that an attempt waits for, and is answered all the same: its answer
 * proves nothing where an attempt may have had the state when it arrived.
 */
class UnprovenReleaseTest extends PlatformAttemptTestSupport {
    private int releases() {
        return all(Command.ReleaseReservation.class).size();
    }

    /** What its engine has not confirmed is released in time; but the engine may have it. */
    @Test
    void aReleaseThatIsAnsweredWhileADecodeIsOutIsRepeatedOnceTheDecodeHasEnded() {
        Command.StartDecode decode = decodeWritten(Fleet.UNSAFE);
        passTo(PREFILLED + Fleet.RELEASE);
        assertTrue(releases() > 0, "released within the limit, as the decode may not have arrived");
        answerReleases();
        int whileItWasOut = releases();
        while (all(Command.CancelAttempt.class).isEmpty()) {
            assertTrue(now < BUDGET, "not given up by the end of the client's time");
            whileItWasOut = releases();
            passTo(now + STEP);
        }
        assertEquals(decode.attempt(), all(Command.CancelAttempt.class).get(0).attempt());
        passTo(now + Fleet.RELEASE);
        assertTrue(releases() > whileItWasOut, "not released after the end of the decode");
    }

    /** Nothing orders a release and the close of another connection at their engines. */
    @Test
    void aReleaseThatMayOvertakeTheCloseOfADecodeIsRepeatedWithinTheLimit() {
        Command.StartDecode decode = decodeWritten(Fleet.SAFE);
        passTo(PREFILLED + Fleet.RELEASE / 10);
        router.bytesReceived(now, decode.engine(), now);
        router.clientDisconnected(now, client);
        assertEquals(1, all(Command.CancelAttempt.class).size());
        assertEquals(1, releases());
        answerReleases();
        passTo(now + Fleet.RELEASE);
        assertTrue(releases() > 1, "released once, and that may have come before the close");
    }
}
