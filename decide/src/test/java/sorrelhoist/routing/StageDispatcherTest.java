package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingActions.Refuse;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingActions.Timer;
import sorrelhoist.routing.RoutingEvents.Arrived;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Members;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerState;
import sorrelhoist.routing.RoutingEvents.TimerFired;

class StageDispatcherTest {
    private final RoutingPolicy policy = new RoutingPolicy(Fixtures.defaultSettings(), 7);

    private List<Action> list(Server... servers) {
        return policy.onEvent(0, new Members(ListUpdateKind.COMPLETE, List.of(servers)));
    }

    @Test
    void aStateWaitsForADecodeEndpointUntilHalfTheReservationLimit() {
        list(Fixtures.prefillServer("r1", 0));
        Arrived request = Fixtures.request(1, "a", null, 1000, 0);
        Send prefill = Fixtures.send(policy.onEvent(0, request));
        List<Action> none = policy.onEvent(0, Fixtures.ended(prefill, 0, Outcome.READ, 1, 0));
        assertEquals(List.of(new Timer(20_000, 1)), none);
        long limit = Fixtures.RESERVATION_LIMIT_MICROS / 2;
        assertEquals(
                List.of(new Timer(20_000, 1)), policy.onEvent(limit - 20_001, new TimerFired(1)));
        List<Action> givenUp = policy.onEvent(limit - 20_000, new TimerFired(1));
        Refuse refuse = Fixtures.all(givenUp, Refuse.class).get(0);
        assertEquals(Reason.Kind.HELD_TOO_LONG, refuse.why().kind());
    }

    @Test
    void aMixedEndpointHandlesAWholeRequest() {
        list(new Server("m1", 0, 2, 0, ServerState.SERVING, 1, 0));
        Send send = Fixtures.send(policy.onEvent(0, Fixtures.request(1, "a", null, 1000, 0)));
        assertEquals("m1", send.server());
        assertEquals(Reason.Kind.MIXED, send.why().kind());
    }

    @Test
    void aRequestPastItsDeadlineEndsAtOnce() {
        list(Fixtures.prefillServer("r1", 0), Fixtures.decodeServer("w1", 0));
        Arrived late = new Arrived(1, 0, 0, "a", null, 10, 0, 10, 0);
        Refuse refuse = Fixtures.all(policy.onEvent(0, late), Refuse.class).get(0);
        assertEquals(Reason.Kind.DEADLINE, refuse.why().kind());
    }
}
