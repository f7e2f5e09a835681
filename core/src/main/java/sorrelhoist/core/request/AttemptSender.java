package sorrelhoist.core.request;

import sorrelhoist.core.time.TimerQueue;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingEvents.Outcome;

/**
 * Starts the attempts that the routing policy orders. Skips a send if its request has finished, its
 * timeout has passed, another attempt of the request is running, or the engine is not on the
 * endpoint list.
 */
final class AttemptSender {
    private final RequestTable requests;
    private final EngineKinds engineKinds;
    private final AttemptTracker attempts;
    private final RequestReservations reservations;
    private final AttemptCommands attemptCommands;
    private final TimerQueue<RouterTimer> timers;
    private final RouterClock clock;

    AttemptSender(
            RequestTable requests,
            EngineKinds engineKinds,
            AttemptTracker attempts,
            RequestReservations reservations,
            AttemptCommands attemptCommands,
            TimerQueue<RouterTimer> timers,
            RouterClock clock) {
        this.requests = requests;
        this.engineKinds = engineKinds;
        this.attempts = attempts;
        this.reservations = reservations;
        this.attemptCommands = attemptCommands;
        this.timers = timers;
        this.clock = clock;
    }

    /**
     * Executes the policy's order to send a request to an engine, or reports the send as skipped.
     */
    void send(Send order) {
        attempts.sendOrdered();
        RequestState request = requests.byRoutingId(order.id());
        if (request == null) {
            attempts.skipped(order, 0, Outcome.SKIPPED, true);
            return;
        }
        int number = request.sendCount++;
        long timeoutAt =
                order.cutAt() == 0 ? request.deadline : Math.min(order.cutAt(), request.deadline);
        if (request.finished) {
            attempts.skipped(order, number, Outcome.SKIPPED, true);
        } else if (timeoutAt <= clock.now()) {
            attempts.skipped(order, number, Outcome.TIMED_OUT, false);
        } else if (request.runningAttempt != null || !engineKinds.isListed(order.server())) {
            attempts.skipped(order, number, Outcome.SKIPPED, false);
        } else {
            start(newAttempt(request, order.server(), number), timeoutAt, order.why());
        }
    }

    private Attempt newAttempt(RequestState request, String engine, int number) {
        return new Attempt(
                request,
                new AttemptId(request.routingId, number),
                engine,
                engineKinds.kindOf(engine),
                engineKinds.isPrefillOnly(engine),
                clock.now());
    }

    private void start(Attempt attempt, long timeoutAt, Reason reason) {
        attempts.started(attempt);
        if (timeoutAt < Long.MAX_VALUE) {
            timers.schedule(timeoutAt, new RouterTimer.AttemptTimeout(attempt));
        }
        String decodeSlot =
                attempt.prefill
                        ? ""
                        : reservations.claimDecodeSlot(attempt.request, attempt.engine);
        reservations.attemptSent(attempt);
        if (attempt.prefill) {
            attemptCommands.startPrefill(attempt, timeoutAt, reason);
        } else {
            attemptCommands.startDecode(attempt, decodeSlot, reason);
        }
    }
}
