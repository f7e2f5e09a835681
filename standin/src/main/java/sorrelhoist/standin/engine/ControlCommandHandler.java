package sorrelhoist.standin.engine;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sorrelhoist.protocol.grpc.ServerCall;
import sorrelhoist.protocol.grpc.StatusCode;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.standin.ControlCommand;
import sorrelhoist.standin.TraceWriter;

/** Executes control commands, by which faults are injected into an engine. */
final class ControlCommandHandler {
    private static final String KNOWN_COMMANDS =
            "die, hang MS, slow FACTOR MS, errors SHARE MS, lose SHARE MS, flush SHARE, drain,"
                    + " undrain, cut MS";
    private static final String DONE = "done";

    /** What commands change. */
    record Targets(InjectedFaults faults, NetworkPartition partition, PrefixCache prefixCache) {}

    private final EventLoop loop;
    private final Targets targets;
    private final CallResponder responder;
    private final EngineTrace trace;
    private final Consumer<Boolean> drain;
    private final Runnable crash;

    /**
     * Creates a handler.
     *
     * @param loop the engine's event loop
     * @param targets what commands change
     * @param responder answers the calls
     * @param trace takes each command
     * @param drain starts draining, or ends it
     * @param crash ends the engine
     */
    ControlCommandHandler(
            EventLoop loop,
            Targets targets,
            CallResponder responder,
            EngineTrace trace,
            Consumer<Boolean> drain,
            Runnable crash) {
        this.loop = loop;
        this.targets = targets;
        this.responder = responder;
        this.trace = trace;
        this.drain = drain;
        this.crash = crash;
    }

    void handle(ServerCall call, byte[] message) {
        try {
            execute(EngineControl.parse(message));
        } catch (ProtoException | IllegalArgumentException e) {
            responder.fail(call, StatusCode.INVALID_ARGUMENT, "bad command: " + e.getMessage());
            return;
        }
        responder.reply(call, EngineControl.encode(DONE));
    }

    private void execute(String line) {
        trace.controlReceived(line);
        ControlCommand command = ControlCommand.parse(line);
        InjectedFaults faults = targets.faults();
        long now = TraceWriter.nowMicros();
        switch (command.name()) {
            case "die" -> loop.schedule(crash, 1, TimeUnit.MILLISECONDS);
            case "hang" -> faults.hangUntil(now + command.durationMicros(1));
            case "slow" -> faults.slowDown(command.number(1), now + command.durationMicros(2));
            case "errors" ->
                    faults.failRequests(command.number(1), now + command.durationMicros(2));
            case "lose" -> faults.loseReplies(command.number(1), now + command.durationMicros(2));
            case "flush" -> targets.prefixCache().evict(command.number(1), faults.random());
            case "drain" -> drain.accept(true);
            case "undrain" -> drain.accept(false);
            case "cut" -> {
                targets.partition().begin();
                loop.schedule(
                        targets.partition()::end, command.durationMicros(1), TimeUnit.MICROSECONDS);
            }
            default ->
                    throw new IllegalArgumentException(
                            "unknown: " + command.name() + "; known are " + KNOWN_COMMANDS);
        }
    }
}
