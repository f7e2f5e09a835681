package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/**
 * Checks seeded random histories against the rules. The same histories with deliberately broken
 * commands verify that violations are detected.
 */
class RandomHistoryTest {
    private static final int COUNT = Integer.getInteger("histories", 3000);

    @Test
    void noHistoryViolatesARule() {
        int served = 0;
        int refused = 0;
        int failed = 0;
        for (long seed = 0; seed < COUNT; seed++) {
            Histories h = new Histories(seed, UnaryOperator.identity());
            h.play();
            assertEquals(List.of(), h.broken, "seed " + seed);
            served += h.served;
            refused += h.refused;
            failed += h.failed;
        }
        System.out.println(
                COUNT
                        + " histories: "
                        + served
                        + " served, "
                        + refused
                        + " refused, "
                        + failed
                        + " failed");
        assertTrue(served > COUNT && refused > COUNT / 20 && failed > COUNT / 100);
    }

    private static void assertDetected(String violation, UnaryOperator<Command> commandFault) {
        for (long seed = 0; seed < 300; seed++) {
            Histories h = new Histories(seed, commandFault);
            h.play();
            if (h.broken.stream().anyMatch(b -> b.startsWith(violation))) {
                return;
            }
        }
        throw new AssertionError("no history detected the violation: " + violation);
    }

    @Test
    void violationsByFaultyCommandsAreDetected() {
        assertDetected(
                "rule 1: no final result", o -> o instanceof Command.FinishRequest ? null : o);
        assertDetected("rule 5: ", o -> o instanceof Command.ReleaseReservation ? null : o);
        assertDetected(
                "token lost or duplicated",
                o ->
                        o instanceof Command.DeliverToken d
                                ? new Command.DeliverToken(
                                        d.clientId(), d.index() / 2, d.text(), null)
                                : o);
        assertDetected(
                "rule 2: two attempts running at once",
                o -> o instanceof Command.CancelAttempt ? null : o);
    }
}
