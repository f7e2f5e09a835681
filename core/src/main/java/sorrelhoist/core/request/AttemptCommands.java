package sorrelhoist.core.request;

import java.util.function.Consumer;
import sorrelhoist.routing.Reason;

/** Builds and emits the commands that send attempts to engines. */
final class AttemptCommands {
    private final IdempotencyWindow idempotencyWindow;
    private final Consumer<Command> commands;

    AttemptCommands(IdempotencyWindow idempotencyWindow, Consumer<Command> commands) {
        this.idempotencyWindow = idempotencyWindow;
        this.commands = commands;
    }

    void startPrefill(Attempt attempt, long timeoutAt, Reason reason) {
        commands.accept(new Command.StartPrefill(target(attempt, reason), timeoutAt));
    }

    void startDecode(Attempt attempt, String decodeSlot, Reason reason) {
        RequestState request = attempt.request;
        commands.accept(
                new Command.StartDecode(
                        target(attempt, reason),
                        request.prefillState,
                        decodeSlot,
                        request.tokens,
                        request.deadline,
                        idempotencyWindow.sendByMicros(request)));
    }

    private static Command.AttemptTarget target(Attempt attempt, Reason reason) {
        RequestState request = attempt.request;
        return new Command.AttemptTarget(
                attempt.id,
                request.name,
                attempt.engine,
                request.parameters,
                request.prompt(),
                request.promptTokens(),
                reason);
    }
}
