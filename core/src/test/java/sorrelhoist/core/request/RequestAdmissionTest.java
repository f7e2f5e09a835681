package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.record.DecisionListener;
import sorrelhoist.routing.Reason;

class RequestAdmissionTest {
    private final List<Command> commands = new ArrayList<>();
    private final RequestTable requests = new RequestTable();
    private final RouterClock clock = new RouterClock();
    private final ExecutedRequestIds executed =
            new ExecutedRequestIds(
                    true, new IdempotencyWindow(Fleet.decide(true).classes()), clock);
    private final RequestAdmission admission =
            new RequestAdmission(
                    1,
                    requests,
                    executed,
                    new ClientResponses(
                            requests, executed, clock, DecisionListener.NONE, commands::add));

    private RequestState open() {
        return requests.open(Fleet.call(Fleet.SAFE, 10, 0), RequestState.NO_DEADLINE);
    }

    private Reason rejection() {
        Command.FinishRequest finish = (Command.FinishRequest) commands.get(0);
        return ((RequestResult.Refused) finish.result()).reason();
    }

    @Test
    void requestsAreAdmittedUpToTheLimitAndRejectedBeyondIt() {
        assertTrue(admission.admit(open()));
        assertFalse(admission.admit(open()));
        assertEquals(Reason.compared(Reason.Kind.ROUTER_FULL, 1, 1), rejection());
        assertEquals(1, requests.openCount());
    }

    @Test
    void aDrainingRouterRejectsEveryRequest() {
        admission.startDraining();
        assertFalse(admission.admit(open()));
        assertEquals(Reason.compared(Reason.Kind.ROUTER_FULL, 0, 0), rejection());
    }
}
