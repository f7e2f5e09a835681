package sorrelhoist.core.request;

import java.util.function.Consumer;
import sorrelhoist.core.record.DecisionListener;
import sorrelhoist.core.record.RecordEntry;
import sorrelhoist.routing.Reason;

/** Delivers responses to clients: tokens, then exactly one final result and nothing after it. */
final class ClientResponses {
    private final RequestTable requests;
    private final ExecutedRequestIds executed;
    private final RouterClock clock;
    private final DecisionListener listener;
    private final Consumer<Command> commands;

    ClientResponses(
            RequestTable requests,
            ExecutedRequestIds executed,
            RouterClock clock,
            DecisionListener listener,
            Consumer<Command> commands) {
        this.requests = requests;
        this.executed = executed;
        this.clock = clock;
        this.listener = listener;
        this.commands = commands;
    }

    /** Delivers a token or an opaque event to the client. */
    void deliver(RequestState request, int index, String text, Object attachment) {
        commands.accept(new Command.DeliverToken(request.clientId, index, text, attachment));
    }

    /** Delivers the final result to the client, unless it already has one or has disconnected. */
    void finish(RequestState request, RequestResult result) {
        if (request.finished) {
            return;
        }
        requests.finish(request);
        if (!(result instanceof RequestResult.Refused)) {
            executed.requestEnded(request, result instanceof RequestResult.Served);
        }
        report(request, completionOf(result), result.reason());
        commands.accept(new Command.FinishRequest(request.clientId, result));
    }

    /**
     * Marks the request of a client that disconnected as finished; the client receives nothing
     * more.
     */
    void clientDisconnected(RequestState request) {
        requests.finish(request);
        executed.requestEnded(request, false);
        report(request, RecordEntry.Completion.LEFT, Reason.UNKNOWN);
    }

    /** Writes a line about the request to the log. */
    void log(RequestState request, String text) {
        commands.accept(new Command.WriteLog(request.name, text));
    }

    private void report(RequestState request, RecordEntry.Completion completion, Reason reason) {
        if (listener == DecisionListener.NONE) {
            return;
        }
        long timeLeft =
                request.hasDeadline() ? request.deadline - clock.now() : RequestState.NO_DEADLINE;
        listener.onRequestCompleted(
                new RecordEntry.RequestCompleted(
                        clock.now(),
                        request.clientId,
                        completion,
                        request.tokens,
                        timeLeft,
                        reason));
    }

    private static RecordEntry.Completion completionOf(RequestResult result) {
        if (result instanceof RequestResult.Served) {
            return RecordEntry.Completion.SERVED;
        }
        if (result instanceof RequestResult.Refused) {
            return RecordEntry.Completion.REFUSED;
        }
        if (result instanceof RequestResult.Stalled) {
            return RecordEntry.Completion.STALLED;
        }
        return RecordEntry.Completion.FAILED;
    }
}
