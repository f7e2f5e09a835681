package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.record.DecisionListener;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;

/**
 * Tests that the sender skips sends that are no longer of use, and that every send has one outcome.
 */
class AttemptSenderTest {
    private static final long DEADLINE = Fleet.SECOND;
    private final List<Command> commands = new ArrayList<>();
    private final RequestComponents core =
            new RequestComponents(
                    Fleet.settings(true, true, 7), commands::add, DecisionListener.NONE);
    private final AttemptSender sender =
            new AttemptSender(
                    core.requests,
                    core.engineKinds,
                    core.attempts,
                    core.reservations,
                    new AttemptCommands(core.idempotencyWindow, commands::add),
                    core.timers,
                    core.clock);

    private RequestState request() {
        core.clock.advanceTo(0);
        core.engineKinds.update(ListUpdateKind.COMPLETE, Fleet.servers());
        RequestState request =
                core.intake.open(Fleet.call(Fleet.SAFE, 10, DEADLINE + Fleet.MARGIN));
        core.requests.assignRoutingId(request);
        request.name = "r";
        return request;
    }

    private void send(RequestState request, String engine) {
        sender.send(new Send(request.routingId, engine, 0, Reason.UNKNOWN));
    }

    @Test
    void aSendToAPrefillEngineStartsAPrefillUntilTheDeadline() {
        RequestState request = request();
        send(request, "r0");
        assertNotNull(request.runningAttempt);
        Command.StartPrefill prefill = (Command.StartPrefill) commands.get(0);
        assertEquals("r0", prefill.engine());
        assertEquals(DEADLINE, prefill.deadlineMicros());
        assertEquals(1, core.attempts.sendsWithoutOutcome());
    }

    @Test
    void aSendToAnUnlistedEngineIsSkipped() {
        RequestState request = request();
        send(request, "unlisted");
        assertNull(request.runningAttempt);
        assertEquals(List.of(), commands);
        assertEquals(0, core.attempts.sendsWithoutOutcome());
    }

    @Test
    void aSendAfterTheDeadlineIsSkipped() {
        RequestState request = request();
        core.clock.advanceTo(DEADLINE);
        send(request, "r0");
        assertNull(request.runningAttempt);
        assertEquals(0, core.attempts.sendsWithoutOutcome());
    }

    @Test
    void aSecondSendBesideARunningAttemptIsSkipped() {
        RequestState request = request();
        send(request, "r0");
        Attempt first = request.runningAttempt;
        send(request, "r1");
        assertEquals(first, request.runningAttempt);
        assertEquals(1, core.attempts.sendsWithoutOutcome());
    }
}
