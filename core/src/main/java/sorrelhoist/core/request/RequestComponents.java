package sorrelhoist.core.request;

import java.util.function.Consumer;
import sorrelhoist.core.record.DecisionListener;
import sorrelhoist.core.time.TimerQueue;
import sorrelhoist.routing.RoutingPolicy;

/**
 * Creates and connects the parts of a router that everything else builds on: the tables, the
 * decision loop, and what happens to a request and its attempts. For {@link Router} alone; each
 * part is given only what it uses.
 */
final class RequestComponents {
    final RouterClock clock = new RouterClock();
    final TimerQueue<RouterTimer> timers = new TimerQueue<>();
    final RequestTable requests = new RequestTable();
    final EngineKinds engineKinds;
    final DecisionLoop decisions;
    final RequestReservations reservations;
    final ClientResponses responses;
    final RequestIntake intake;
    final RequestAdmission admission;
    final IdempotencyWindow idempotencyWindow;
    final AttemptTracker attempts;
    final AttemptFailures failures;

    RequestComponents(
            RouterSettings settings, Consumer<Command> commands, DecisionListener listener) {
        engineKinds = new EngineKinds(settings.routing().serverKinds());
        RoutingPolicy policy = new RoutingPolicy(settings.routing(), settings.seed());
        decisions = new DecisionLoop(policy, listener, clock);
        reservations = new RequestReservations(settings, clock, commands);
        responses = new ClientResponses(requests, clock, listener, commands);
        RequestSubmitter submitter =
                new RequestSubmitter(settings, requests, clock, listener, decisions);
        intake = new RequestIntake(settings, requests, submitter, timers, clock);
        admission = new RequestAdmission(settings.maxOpenRequests(), requests, responses);
        idempotencyWindow = new IdempotencyWindow(settings.routing().classes());
        attempts = new AttemptTracker(clock, decisions, reservations);
        StreamRecovery recovery =
                new StreamRecovery(
                        settings,
                        clock,
                        attempts,
                        submitter,
                        admission,
                        idempotencyWindow,
                        responses);
        failures = new AttemptFailures(attempts, reservations, recovery, commands);
    }
}
