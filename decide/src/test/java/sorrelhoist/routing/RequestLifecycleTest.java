package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sorrelhoist.routing.Fixtures.SECOND;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingActions.Cancel;
import sorrelhoist.routing.RoutingActions.Release;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingEvents.ClientGone;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Members;
import sorrelhoist.routing.RoutingEvents.Outcome;

class RequestLifecycleTest {
    private final RoutingPolicy policy = new RoutingPolicy(Fixtures.defaultSettings(), 7);
    private long now = SECOND;

    RequestLifecycleTest() {
        policy.onEvent(now, new Members(ListUpdateKind.COMPLETE, Fixtures.fleet()));
    }

    private List<Action> arrive(long id) {
        return policy.onEvent(now, Fixtures.request(id, "s" + id, null, 1000, 0));
    }

    private List<Action> end(Send send, int attempt, Outcome outcome, long note) {
        now += 10_000;
        return policy.onEvent(now, Fixtures.ended(send, attempt, outcome, 10_000, note));
    }

    @Test
    void aRequestIsPrefilledDecodedAndReleased() {
        Send prefill = Fixtures.send(arrive(1));
        Send decode = Fixtures.send(end(prefill, 0, Outcome.READ, 0));
        assertTrue(prefill.server().startsWith("r") && decode.server().startsWith("w"));
        assertEquals(List.of(), end(prefill, 0, Outcome.READ, 0), "a repeated outcome is ignored");
        assertEquals(List.of(new Release(1)), end(decode, 1, Outcome.DONE, 0));
    }

    @Test
    void aLostStateIsPrefilledAgainAndAKeptOneIsNot() {
        Send decode = Fixtures.send(end(Fixtures.send(arrive(1)), 0, Outcome.READ, 0));
        Send other = Fixtures.send(end(decode, 1, Outcome.FULL, 0));
        assertTrue(other.server().startsWith("w"), "rejected as full: the state is still kept");
        Send anew = Fixtures.send(end(other, 2, Outcome.FULL, 1));
        assertTrue(anew.server().startsWith("r"), "there was no state to fetch");
    }

    @Test
    void aStateReleasedDuringItsDecodeIsPrefilledAgainWhateverTheOutcome() {
        long id = 0;
        for (Outcome outcome : List.of(Outcome.FULL, Outcome.TIMED_OUT, Outcome.CANCELLED)) {
            id++;
            Send decode = Fixtures.send(end(Fixtures.send(arrive(id)), 0, Outcome.READ, 0));
            Send anew = Fixtures.send(end(decode, 1, outcome, OutcomeRecorder.STATE_RELEASED));
            assertTrue(
                    anew.server().startsWith("r"),
                    outcome + " should send the request to a prefill server");
        }
    }

    @Test
    void aRequestWhoseClientLeftIsCancelledAndForgotten() {
        Send prefill = Fixtures.send(arrive(1));
        Reason gone = Reason.of(Reason.Kind.CLIENT_GONE);
        assertEquals(List.of(new Cancel(1, 0, gone)), policy.onEvent(now, new ClientGone(1)));
        assertEquals(List.of(new Release(1)), end(prefill, 0, Outcome.CANCELLED, 0));
        assertFalse(arrive(1).isEmpty(), "its id may be used again");
    }
}
