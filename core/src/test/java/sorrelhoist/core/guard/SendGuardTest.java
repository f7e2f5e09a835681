package sorrelhoist.core.guard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import sorrelhoist.Routing.Kind;
import sorrelhoist.Routing.Limits;
import sorrelhoist.Routing.ListForm;
import sorrelhoist.Routing.Repeat;
import sorrelhoist.Routing.Reports;
import sorrelhoist.Routing.RequestClass;
import sorrelhoist.Routing.Role;
import sorrelhoist.Routing.Rules;
import sorrelhoist.Routing.Scope;
import sorrelhoist.Routing.Server;
import sorrelhoist.Routing.ServerState;
import sorrelhoist.Routing.Settings;

/** Each invariant of a send, violated once: it is counted by its name, and the bytes stay here. */
class SendGuardTest {
    private static final long SECOND = 1_000_000;
    private static final Settings SETTINGS =
            new Settings(
                    2,
                    0,
                    0,
                    false,
                    1,
                    Reports.NONE,
                    List.of(new RequestClass(SECOND, 0, 1, Repeat.SAFE, Scope.ALL, SECOND)),
                    List.of(),
                    List.of(new Kind(Role.READ, 1000)),
                    new Limits(5, true, false, true, SECOND, false, false, 0, 0),
                    new Rules(0.3, 6 * SECOND, 2, 3 * SECOND, SECOND));
    private final List<String> log = new ArrayList<>();
    private final InvariantMonitor monitor = new InvariantMonitor(log::add);
    private final SendGuard guard = new SendGuard(SETTINGS, monitor);

    @BeforeEach
    void list() {
        guard.listed(
                ListForm.COMPLETE,
                List.of(
                        server("a", ServerState.SERVING, 0),
                        server("b", ServerState.SERVING, 0),
                        server("d", ServerState.DRAINING, 0)),
                0);
    }

    private static Server server(String id, ServerState state, long since) {
        return new Server(id, 0, 0, 0, state, 1, since);
    }

    private static SendGuard.Attempt attempt(
            String engine, boolean open, Repeat repeat, boolean mayHaveRun) {
        return new SendGuard.Attempt(
                "r", 1, engine, List.of(), open, 4 * SECOND, repeat, mayHaveRun, false, 2 * SECOND);
    }

    private void refused(SendGuard.Attempt attempt, long now, Invariant by) {
        assertFalse(guard.allows(attempt, now));
        assertEquals(Map.of(by, 1L), monitor.counts());
        assertTrue(log.get(0).startsWith("invariant violated: " + by), log.get(0));
    }

    @Test
    void anOrdinarySendIsAllowedAndCountsNothing() {
        assertTrue(guard.allows(attempt("a", true, Repeat.UNSAFE, false), SECOND));
        assertTrue(guard.allows(attempt("b", true, Repeat.KEYED, true), SECOND));
        assertEquals(Map.of(), monitor.counts());
    }

    @Test
    void nothingLeavesForARequestThatIsAnswered() {
        refused(attempt("a", false, Repeat.SAFE, false), SECOND, Invariant.SEND_FOR_OPEN_REQUEST);
    }

    @Test
    void nothingLeavesAfterTheClientsTime() {
        refused(attempt("a", true, Repeat.SAFE, false), 4 * SECOND, Invariant.SEND_WITHIN_DEADLINE);
    }

    @Test
    void nothingLeavesForAnEngineThatDrains() {
        refused(attempt("d", true, Repeat.SAFE, false), SECOND, Invariant.SEND_TO_SERVING_ENGINE);
    }

    @Test
    void nothingLeavesForAnEngineThatIsGone() {
        guard.listed(ListForm.UPDATE, List.of(server("a", ServerState.GONE, 0)), SECOND);
        refused(attempt("a", true, Repeat.SAFE, false), SECOND, Invariant.SEND_TO_SERVING_ENGINE);
    }

    @Test
    void whatMayHaveRunIsNotRepeatedWhereThatHasAnEffect() {
        refused(
                attempt("a", true, Repeat.UNSAFE, true),
                SECOND,
                Invariant.REPEAT_WITHOUT_SECOND_EFFECT);
    }

    @Test
    void aKeyedRepeatDoesNotLeaveAfterItsWindow() {
        refused(
                attempt("a", true, Repeat.KEYED, true),
                2 * SECOND,
                Invariant.REPEAT_WITHOUT_SECOND_EFFECT);
    }

    @Test
    void sendsToAnEngineThatStartedAreCountedAgainstWhatLikeEnginesGet() {
        for (int i = 0; i < 10; i++) {
            guard.allows(attempt("a", true, Repeat.SAFE, false), SECOND + i);
        }
        guard.listed(ListForm.UPDATE, List.of(server("b", ServerState.SERVING, 7)), SECOND);
        int allowed = 0;
        while (monitor.counts().isEmpty()) {
            assertTrue(
                    guard.allows(attempt("b", true, Repeat.SAFE, false), SECOND + allowed),
                    "it is only counted");
            allowed++;
        }
        // 2 x 0.3 x 10, three roots of that, three more: the sixteenth is one too many by the
        // guard's own account.
        assertEquals(Map.of(Invariant.SLOW_START_BUDGET, 1L), monitor.counts());
        assertEquals(17, allowed);
    }

    @Test
    void eachNameIsLoggedOnceASecondAndCountedEveryTime() {
        for (int i = 0; i < 5; i++) {
            guard.allows(attempt("d", true, Repeat.SAFE, false), i);
        }
        assertEquals(1, log.size());
        assertEquals(5L, monitor.counts().get(Invariant.SEND_TO_SERVING_ENGINE));
        guard.allows(attempt("d", true, Repeat.SAFE, false), SECOND);
        assertEquals(2, log.size());
    }
}
