package sorrelhoist.core.request;

import java.util.function.Consumer;
import sorrelhoist.core.time.TimerQueue;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingActions.CloseIdle;
import sorrelhoist.routing.RoutingActions.FetchList;
import sorrelhoist.routing.RoutingActions.Follow;
import sorrelhoist.routing.RoutingActions.Log;
import sorrelhoist.routing.RoutingActions.Probe;
import sorrelhoist.routing.RoutingActions.Tell;
import sorrelhoist.routing.RoutingActions.Timer;

/**
 * Executes the routing policy's actions. Actions that concern one request are delegated to {@link
 * RequestActions}; all others are executed here.
 */
final class ActionExecutor {
    private final RequestActions requestActions;
    private final TimerQueue<RouterTimer> timers;
    private final RouterClock clock;
    private final Consumer<Command> commands;

    ActionExecutor(
            RequestActions requestActions,
            TimerQueue<RouterTimer> timers,
            RouterClock clock,
            Consumer<Command> commands) {
        this.requestActions = requestActions;
        this.timers = timers;
        this.clock = clock;
        this.commands = commands;
    }

    /** Creates an executor together with the collaborators that no other class uses. */
    static ActionExecutor create(
            RequestComponents core, StreamMigration migration, Consumer<Command> commands) {
        AttemptSender sender =
                new AttemptSender(
                        core.requests,
                        core.engineKinds,
                        core.attempts,
                        core.reservations,
                        new AttemptCommands(core.idempotencyWindow, commands),
                        core.timers,
                        core.clock);
        RequestActions requestActions =
                new RequestActions(
                        core.requests,
                        sender,
                        core.failures,
                        new PolicyResults(core.requests, core.clock, core.responses),
                        migration,
                        core.reservations,
                        commands);
        return new ActionExecutor(requestActions, core.timers, core.clock, commands);
    }

    void execute(Action action) {
        if (action instanceof Timer timer) {
            timers.schedule(
                    clock.now() + timer.delayMicros(), new RouterTimer.PolicyTimer(timer.token()));
        } else if (action instanceof Probe probe) {
            commands.accept(new Command.ProbeEngine(probe.server()));
        } else if (action instanceof Tell message) {
            commands.accept(new Command.SendPeerMessage(message.to(), message.body()));
        } else if (action instanceof Follow || action instanceof FetchList) {
            commands.accept(new Command.FetchEndpointList());
        } else if (action instanceof CloseIdle closing) {
            commands.accept(new Command.CloseIdleConnections(closing.server()));
        } else if (action instanceof Log line) {
            commands.accept(new Command.WriteLog(null, line.text()));
        } else {
            requestActions.execute(action);
        }
    }
}
