package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.Reason.Kind;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingActions.Cancel;
import sorrelhoist.routing.RoutingActions.Fail;
import sorrelhoist.routing.RoutingActions.Refuse;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingEvents.Arrived;
import sorrelhoist.routing.RoutingEvents.AttemptEnded;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Members;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerLoad;
import sorrelhoist.routing.RoutingEvents.ServerState;
import sorrelhoist.routing.RoutingEvents.StreamStarted;
import sorrelhoist.routing.RoutingEvents.TimerFired;
import sorrelhoist.routing.RoutingSettings.Capabilities;
import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.IdempotencyScope;
import sorrelhoist.routing.RoutingSettings.LoadReportMode;
import sorrelhoist.routing.RoutingSettings.RequestClass;
import sorrelhoist.routing.RoutingSettings.Role;
import sorrelhoist.routing.RoutingSettings.ServerLimits;

/** Tests that each final answer and each send contains its reason with the compared values. */
class ReasonTest {
    private static final long SECOND = 1_000_000;
    private long now = 1000 * SECOND;
    private RoutingPolicy policy;

    private static Server server(String id, int kind, ServerState state, long since) {
        return new Server(id, 0, kind, 0, state, 1, since);
    }

    private static Arrived ask(long id, long budget) {
        return new Arrived(id, 0, 0, "s" + id, null, 1000, 0, 20, budget);
    }

    private void start(Idempotency repeat, List<Server> servers) {
        RoutingSettings settings =
                new RoutingSettings(
                        1,
                        0,
                        0,
                        false,
                        0.5,
                        LoadReportMode.NONE,
                        List.of(
                                new RequestClass(
                                        SECOND, 40_000, 1, repeat, IdempotencyScope.ALL, 0)),
                        List.of(),
                        List.of(
                                new RoutingSettings.ServerKind(Role.READ, 200_000),
                                new RoutingSettings.ServerKind(Role.WRITE, 200_000)),
                        new Capabilities(
                                3, true, true, true, 2 * SECOND, false, true, 0.003, 0.003),
                        new ServerLimits(0.26, 2 * SECOND, 3, 3 * SECOND, SECOND / 2));
        policy = new RoutingPolicy(settings, 7);
        policy.onEvent(now, new Members(ListUpdateKind.COMPLETE, servers));
    }

    private static <T> T only(List<Action> actions, Class<T> type) {
        List<T> all = actions.stream().filter(type::isInstance).map(type::cast).toList();
        assertEquals(1, all.size(), actions.toString());
        return all.get(0);
    }

    private static final Server R1 = server("r1", 0, ServerState.SERVING, 0);
    private static final Server R2 = server("r2", 0, ServerState.SERVING, 0);
    private static final Server W1 = server("w1", 1, ServerState.SERVING, 0);

    @Test
    void aSendContainsItsReasonAndTheRunnerUp() {
        start(Idempotency.SAFE, List.of(R1, R2, W1));
        Send read = only(policy.onEvent(now, ask(1, 4 * SECOND)), Send.class);
        assertEquals(Kind.UNSEEN, read.why().kind());
        assertEquals(read.server().equals("r1") ? "r2" : "r1", read.why().next());
        assertTrue(read.why().estimate() > 0 && read.why().limit() == 1_040_000, read.toString());
        now += 50_000;
        Send write =
                only(
                        policy.onEvent(
                                now,
                                new AttemptEnded(
                                        1,
                                        0,
                                        read.server(),
                                        Outcome.READ,
                                        50_000,
                                        false,
                                        0,
                                        ServerLoad.NONE)),
                        Send.class);
        assertEquals(Kind.TWO_DRAWS, write.why().kind());
        assertTrue(
                write.why().expected() >= 50_000,
                "the expected time counts from the arrival: " + write);
        policy.onEvent(now, new StreamStarted(1, 1, "w1", 1000));
        policy.onEvent(
                now, new AttemptEnded(1, 1, "w1", Outcome.DONE, 2000, true, 0, ServerLoad.NONE));
        Send again =
                only(
                        policy.onEvent(
                                now, new Arrived(2, 0, 0, "s1", null, 1000, 0, 20, 4 * SECOND)),
                        Send.class);
        assertEquals(Kind.KEPT, again.why().kind());
        assertEquals(read.server(), again.server());
    }

    @Test
    void aRejectionOnArrivalGivesItsEstimate() {
        start(Idempotency.SAFE, List.of(R1, W1));
        Reason why = null;
        for (long id = 1; id < 200 && why == null; id++) {
            for (Action a : policy.onEvent(now, ask(id, 4 * SECOND))) {
                why = a instanceof Refuse r ? r.why() : why;
            }
        }
        assertEquals(Kind.DOOR, why.kind());
        assertTrue(why.expected() > why.limit(), why.toString());
        assertEquals(why.expected(), why.read() + why.first() + why.lag(), 1e-6);
    }

    @Test
    void aRejectionNamesWhyNoServerIsAvailable() {
        start(Idempotency.SAFE, List.of(W1));
        assertEquals(
                Kind.NO_SERVER,
                only(policy.onEvent(now, ask(1, SECOND)), Refuse.class).why().kind());
        start(Idempotency.SAFE, List.of(server("r1", 0, ServerState.DRAINING, 0), W1));
        assertEquals(
                Kind.DRAINING,
                only(policy.onEvent(now, ask(1, SECOND)), Refuse.class).why().kind());
        // The server has just started, and this router has used its only send to it in the window.
        start(Idempotency.SAFE, List.of(server("r1", 0, ServerState.SERVING, now), W1));
        Kind last = null;
        for (long id = 1; id < 4; id++) {
            for (Action a : policy.onEvent(now, ask(id, SECOND))) {
                last = a instanceof Refuse r ? r.why().kind() : last;
            }
        }
        assertEquals(Kind.COLD, last);
    }

    @Test
    void deadlineAttemptsAndIdempotencyAreReported() {
        start(Idempotency.SAFE, List.of(R1, W1));
        Send read = only(policy.onEvent(now, ask(1, SECOND)), Send.class);
        now += SECOND;
        List<Action> late = policy.onEvent(now, new TimerFired(1));
        assertEquals(
                Reason.compared(Kind.DEADLINE, SECOND, SECOND), only(late, Refuse.class).why());
        assertEquals(Kind.DEADLINE, only(late, Cancel.class).why().kind());
        policy.onEvent(
                now,
                new AttemptEnded(
                        1, 0, read.server(), Outcome.CANCELLED, SECOND, true, 0, ServerLoad.NONE));

        start(Idempotency.UNSAFE, List.of(R1, W1));
        read = only(policy.onEvent(now, ask(1, SECOND)), Send.class);
        policy.onEvent(
                now,
                new AttemptEnded(
                        1, 0, read.server(), Outcome.READ, 1000, false, 0, ServerLoad.NONE));
        Fail fail =
                only(
                        policy.onEvent(
                                now,
                                new AttemptEnded(
                                        1,
                                        1,
                                        "w1",
                                        Outcome.ERROR,
                                        1000,
                                        false,
                                        0,
                                        ServerLoad.NONE)),
                        Fail.class);
        assertEquals(Kind.REPEAT_UNSAFE, fail.why().kind());

        start(Idempotency.SAFE, List.of(R1, W1));
        policy.onEvent(now, ask(1, SECOND));
        policy.onEvent(
                now, new AttemptEnded(1, 0, "r1", Outcome.READ, 1000, false, 0, ServerLoad.NONE));
        policy.onEvent(
                now, new AttemptEnded(1, 1, "w1", Outcome.FULL, 1000, false, 0, ServerLoad.NONE));
        Refuse full =
                only(
                        policy.onEvent(
                                now,
                                new AttemptEnded(
                                        1, 2, "w1", Outcome.FULL, 1000, false, 0, ServerLoad.NONE)),
                        Refuse.class);
        assertEquals(Reason.compared(Kind.TOLD_FULL, 3, 3), full.why());
    }
}
