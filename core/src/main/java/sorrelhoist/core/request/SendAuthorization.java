package sorrelhoist.core.request;

import java.util.List;
import sorrelhoist.core.guard.Invariant;
import sorrelhoist.core.guard.InvariantMonitor;
import sorrelhoist.core.guard.SendGuard;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Server;

/**
 * Checks with the send guard, immediately before an attempt is sent, whether its bytes may go to
 * its engine.
 */
final class SendAuthorization {
    private final RequestTable requests;
    private final SendGuard guard;
    private final InvariantMonitor invariantMonitor;
    private final IdempotencyWindow idempotencyWindow;
    private final RouterClock clock;

    SendAuthorization(
            RequestTable requests,
            SendGuard guard,
            InvariantMonitor invariantMonitor,
            IdempotencyWindow idempotencyWindow,
            RouterClock clock) {
        this.requests = requests;
        this.guard = guard;
        this.invariantMonitor = invariantMonitor;
        this.idempotencyWindow = idempotencyWindow;
        this.clock = clock;
    }

    /** Applies the complete endpoint list or an update of it. */
    void endpointsUpdated(ListUpdateKind updateKind, List<Server> servers) {
        guard.endpointsUpdated(updateKind, servers, clock.now());
    }

    boolean maySend(AttemptId id) {
        Attempt attempt = requests.runningAttempt(id);
        if (attempt == null) {
            return invariantMonitor.check(false, Invariant.SEND_FOR_OPEN_REQUEST, clock.now(), id);
        }
        return guard.allows(describe(attempt), clock.now());
    }

    private SendGuard.Attempt describe(Attempt attempt) {
        RequestState request = attempt.request;
        return new SendGuard.Attempt(
                request.name,
                attempt.id.number(),
                attempt.engine,
                request.history(),
                !request.finished,
                request.deadline,
                new SendGuard.Repetition(
                        idempotencyWindow.idempotencyOf(request),
                        attempt.prefill,
                        request.mayHaveRunSince != RequestState.NEVER,
                        idempotencyWindow.sendByMicros(request)));
    }
}
