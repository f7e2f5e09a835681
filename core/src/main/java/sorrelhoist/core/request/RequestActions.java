package sorrelhoist.core.request;

import java.util.function.Consumer;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingActions.Cancel;
import sorrelhoist.routing.RoutingActions.Fail;
import sorrelhoist.routing.RoutingActions.Move;
import sorrelhoist.routing.RoutingActions.Refuse;
import sorrelhoist.routing.RoutingActions.Release;
import sorrelhoist.routing.RoutingActions.Reserve;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingEvents.Outcome;

/** Executes the routing policy's actions that concern one request. */
final class RequestActions {
    private final RequestTable requests;
    private final AttemptSender sender;
    private final AttemptFailures failures;
    private final PolicyResults results;
    private final StreamMigration migration;
    private final RequestReservations reservations;
    private final Consumer<Command> commands;

    RequestActions(
            RequestTable requests,
            AttemptSender sender,
            AttemptFailures failures,
            PolicyResults results,
            StreamMigration migration,
            RequestReservations reservations,
            Consumer<Command> commands) {
        this.requests = requests;
        this.sender = sender;
        this.failures = failures;
        this.results = results;
        this.migration = migration;
        this.reservations = reservations;
        this.commands = commands;
    }

    /** Executes an action. Ignores actions that do not concern a request. */
    void execute(Action action) {
        if (action instanceof Send send) {
            sender.send(send);
        } else if (action instanceof Refuse refusal) {
            results.reject(refusal);
        } else if (action instanceof Fail failure) {
            results.fail(failure);
        } else if (action instanceof Cancel cancellation) {
            cancel(cancellation);
        } else if (action instanceof Release release) {
            release(release);
        } else if (action instanceof Reserve reservation) {
            reserve(reservation);
        } else if (action instanceof Move move) {
            migrate(move);
        }
    }

    private void cancel(Cancel action) {
        Attempt attempt = requests.runningAttempt(new AttemptId(action.id(), action.attempt()));
        if (attempt != null && !attempt.streaming) {
            failures.cancelAttempt(attempt, Outcome.CANCELLED);
        }
    }

    private void release(Release action) {
        RequestState request = requests.byRoutingId(action.id());
        if (request != null) {
            reservations.release(request);
        }
    }

    private void reserve(Reserve action) {
        RequestState request = requests.byRoutingId(action.id());
        if (request != null && !request.finished) {
            commands.accept(
                    new Command.ReserveDecodeSlot(
                            action.id(), request.name, action.server(), request.parameters));
        }
    }

    private void migrate(Move action) {
        RequestState request = requests.byRoutingId(action.id());
        if (request != null) {
            migration.migrate(request);
        }
    }
}
