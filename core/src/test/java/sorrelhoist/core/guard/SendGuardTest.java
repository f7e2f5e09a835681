package sorrelhoist.core.guard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerState;
import sorrelhoist.routing.RoutingSettings;
import sorrelhoist.routing.RoutingSettings.Capabilities;
import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.IdempotencyScope;
import sorrelhoist.routing.RoutingSettings.LoadReportMode;
import sorrelhoist.routing.RoutingSettings.RequestClass;
import sorrelhoist.routing.RoutingSettings.Role;
import sorrelhoist.routing.RoutingSettings.ServerKind;
import sorrelhoist.routing.RoutingSettings.ServerLimits;

/**
 * Violates each invariant of a send once: the violation is counted by invariant, and the send is
 * refused.
 */
class SendGuardTest {
    private static final long SECOND = 1_000_000;
    private static final RoutingSettings SETTINGS =
            new RoutingSettings(
                    2,
                    0,
                    0,
                    false,
                    1,
                    LoadReportMode.NONE,
                    List.of(
                            new RequestClass(
                                    SECOND, 0, 1, Idempotency.SAFE, IdempotencyScope.ALL, SECOND)),
                    List.of(),
                    List.of(new ServerKind(Role.READ, 1000)),
                    new Capabilities(5, true, false, true, SECOND, false, false, 0, 0),
                    new ServerLimits(0.3, 6 * SECOND, 2, 3 * SECOND, SECOND));
    private final List<String> log = new ArrayList<>();
    private final InvariantMonitor monitor = new InvariantMonitor(log::add);
    private final SendGuard guard = new SendGuard(SETTINGS, monitor);

    @BeforeEach
    void listEngines() {
        guard.endpointsUpdated(
                ListUpdateKind.COMPLETE,
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
            String engine, boolean open, Idempotency repeat, boolean mayHaveRun) {
        return new SendGuard.Attempt(
                "r",
                1,
                engine,
                List.of(),
                open,
                4 * SECOND,
                new SendGuard.Repetition(repeat, false, mayHaveRun, 2 * SECOND));
    }

    private void assertRefused(SendGuard.Attempt attempt, long now, Invariant by) {
        assertFalse(guard.allows(attempt, now));
        assertEquals(Map.of(by, 1L), monitor.counts());
        assertTrue(log.get(0).startsWith("invariant violated: " + by), log.get(0));
    }

    @Test
    void validSendIsAllowed() {
        assertTrue(guard.allows(attempt("a", true, Idempotency.UNSAFE, false), SECOND));
        assertTrue(guard.allows(attempt("b", true, Idempotency.KEYED, true), SECOND));
        assertEquals(Map.of(), monitor.counts());
    }

    @Test
    void sendForAnsweredRequestIsRefused() {
        assertRefused(
                attempt("a", false, Idempotency.SAFE, false),
                SECOND,
                Invariant.SEND_FOR_OPEN_REQUEST);
    }

    @Test
    void sendAfterDeadlineIsRefused() {
        assertRefused(
                attempt("a", true, Idempotency.SAFE, false),
                4 * SECOND,
                Invariant.SEND_WITHIN_DEADLINE);
    }

    @Test
    void sendToDrainingEngineIsRefused() {
        assertRefused(
                attempt("d", true, Idempotency.SAFE, false),
                SECOND,
                Invariant.SEND_TO_SERVING_ENGINE);
    }

    @Test
    void sendToRemovedEngineIsRefused() {
        guard.endpointsUpdated(
                ListUpdateKind.UPDATE, List.of(server("a", ServerState.GONE, 0)), SECOND);
        assertRefused(
                attempt("a", true, Idempotency.SAFE, false),
                SECOND,
                Invariant.SEND_TO_SERVING_ENGINE);
    }

    @Test
    void repetitionWithEffectIsRefused() {
        assertRefused(
                attempt("a", true, Idempotency.UNSAFE, true),
                SECOND,
                Invariant.REPEAT_WITHOUT_SECOND_EFFECT);
    }

    @Test
    void keyedRepetitionAfterWindowIsRefused() {
        assertRefused(
                attempt("a", true, Idempotency.KEYED, true),
                2 * SECOND,
                Invariant.REPEAT_WITHOUT_SECOND_EFFECT);
    }

    @Test
    void sendsBeyondSlowStartBudgetAreCounted() {
        for (int i = 0; i < 10; i++) {
            guard.allows(attempt("a", true, Idempotency.SAFE, false), SECOND + i);
        }
        guard.endpointsUpdated(
                ListUpdateKind.UPDATE, List.of(server("b", ServerState.SERVING, 7)), SECOND);
        int allowed = 0;
        while (monitor.counts().isEmpty()) {
            assertTrue(
                    guard.allows(attempt("b", true, Idempotency.SAFE, false), SECOND + allowed),
                    "a send beyond the budget is only counted");
            allowed++;
        }
        // The budget is 2 x 0.3 x 10 sends, plus three times its square root, plus three: by the
        // count of the guard, 16 sends are allowed and the next one exceeds it.
        assertEquals(Map.of(Invariant.SLOW_START_BUDGET, 1L), monitor.counts());
        assertEquals(17, allowed);
    }

    @Test
    void violationIsLoggedOncePerSecondAndAlwaysCounted() {
        for (int i = 0; i < 5; i++) {
            guard.allows(attempt("d", true, Idempotency.SAFE, false), i);
        }
        assertEquals(1, log.size());
        assertEquals(5L, monitor.counts().get(Invariant.SEND_TO_SERVING_ENGINE));
        guard.allows(attempt("d", true, Idempotency.SAFE, false), SECOND);
        assertEquals(2, log.size());
    }
}
