package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.record.DecisionListener;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.ServerLoad;

/** Tests the handling of streams that break before the answer is complete. */
class StreamRecoveryTest {
    private static final int MAX_TOKENS = 10;
    private final List<Command> commands = new ArrayList<>();

    private RequestState breakStream(RequestComponents core, int classIndex, int tokens) {
        core.clock.advanceTo(0);
        RequestState request = core.intake.open(Fleet.call(classIndex, MAX_TOKENS, 0));
        core.intake.submit(request);
        AttemptId id = new AttemptId(request.routingId, 0);
        Attempt attempt = new Attempt(request, id, "w0", 1, false, 0);
        core.attempts.started(attempt);
        core.attempts.streamStarted(attempt);
        request.tokens = tokens;
        core.failures.failed(attempt, Outcome.RESET, 0, ServerLoad.NONE);
        return request;
    }

    private RequestComponents core(boolean resumes) {
        return new RequestComponents(
                Fleet.settings(true, resumes, 7), commands::add, DecisionListener.NONE);
    }

    private RequestResult result() {
        return ((Command.FinishRequest) commands.get(commands.size() - 1)).result();
    }

    @Test
    void anIdempotentStreamIsResumedUnderANewRoutingId() {
        RequestComponents core = core(true);
        RequestState request = breakStream(core, Fleet.SAFE, 3);
        assertEquals(RequestPhase.WAITING, request.phase);
        assertEquals(1, request.resumptionCount);
        assertNotEquals(request.clientId + 1, request.routingId);
        assertEquals(List.of(), commands);
    }

    @Test
    void aStreamThatIsNotIdempotentFails() {
        breakStream(core(true), Fleet.UNSAFE, 3);
        assertInstanceOf(RequestResult.Failed.class, result());
    }

    @Test
    void aStreamFailsWhereTheDeploymentDoesNotResume() {
        breakStream(core(false), Fleet.SAFE, 3);
        assertInstanceOf(RequestResult.Failed.class, result());
    }

    @Test
    void aDrainingRouterDoesNotResume() {
        RequestComponents core = core(true);
        core.admission.startDraining();
        breakStream(core, Fleet.SAFE, 3);
        assertInstanceOf(RequestResult.Failed.class, result());
    }

    @Test
    void aStreamThatBrokeAfterItsLastTokenIsServed() {
        breakStream(core(true), Fleet.UNSAFE, MAX_TOKENS);
        assertEquals(new RequestResult.Served(MAX_TOKENS), result());
    }
}
