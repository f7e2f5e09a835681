package sorrelhoist.core.request;

import java.util.function.Consumer;
import sorrelhoist.core.guard.InvariantMonitor;
import sorrelhoist.core.guard.SendGuard;
import sorrelhoist.core.record.DecisionListener;
import sorrelhoist.core.time.TimerQueue;
import sorrelhoist.routing.RoutingPolicy;

/**
 * Creates and connects the components that the rest of a router builds on: the tables, the decision
 * loop, and the handling of requests and attempts. Only {@link Router} uses this class; each
 * component receives only the collaborators that it uses.
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
    final AttemptDeliveries deliveries;
    final AttemptTracker attempts;
    final AttemptFailures failures;
    final RequestTermination termination;
    final InvariantMonitor invariantMonitor;
    final SendAuthorization sendAuthorization;

    RequestComponents(
            RouterSettings settings, Consumer<Command> commands, DecisionListener listener) {
        engineKinds = new EngineKinds(settings.routing().serverKinds());
        RoutingPolicy policy = new RoutingPolicy(settings.routing(), settings.seed());
        decisions = new DecisionLoop(policy, listener, clock);
        reservations = new RequestReservations(settings, clock, commands);
        idempotencyWindow = new IdempotencyWindow(settings.routing().classes());
        ExecutedRequestIds executed =
                new ExecutedRequestIds(settings.streams().opaqueEvents(), idempotencyWindow, clock);
        responses = new ClientResponses(requests, executed, clock, listener, commands);
        RequestSubmitter submitter =
                new RequestSubmitter(settings, requests, clock, listener, decisions);
        intake = new RequestIntake(settings, requests, submitter, timers, clock);
        admission = new RequestAdmission(settings.maxOpenRequests(), requests, executed, responses);
        deliveries = new AttemptDeliveries(settings, clock, reservations, decisions, commands);
        attempts = new AttemptTracker(clock, decisions, reservations, deliveries);
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
        long stallTimeout = settings.streams().clientStallTimeoutMicros();
        termination = new RequestTermination(stallTimeout, decisions, failures, responses);
        invariantMonitor =
                new InvariantMonitor(line -> commands.accept(new Command.ReportViolation(line)));
        sendAuthorization =
                new SendAuthorization(
                        requests,
                        new SendGuard(settings.routing(), invariantMonitor),
                        invariantMonitor,
                        idempotencyWindow,
                        clock);
    }
}
