package sorrelhoist.standin.registry;

import sorrelhoist.protocol.http1.HttpMessage;
import sorrelhoist.standin.ControlCommand;

/** The faults that were injected into a registry, each until a time in microseconds since 1970. */
final class RegistryFaults {
    private final RegistryTrace trace;
    private long lagMicros;
    private long lagUntilMicros;
    private long hangUntilMicros;
    private long failUntilMicros;
    private long emptyUntilMicros;

    RegistryFaults(RegistryTrace trace) {
        this.trace = trace;
    }

    /**
     * Executes a command.
     *
     * @param line the command, or null where it is missing
     * @param nowMicros the time, microseconds since 1970
     * @return the answer to it
     */
    HttpMessage execute(String line, long nowMicros) {
        trace.controlReceived(line);
        try {
            inject(ControlCommand.parse(line == null ? "" : line), nowMicros);
            return HttpMessage.response(200, "text/plain", "done\n");
        } catch (IllegalArgumentException e) {
            return HttpMessage.response(400, "text/plain", "bad command: " + e.getMessage() + "\n");
        }
    }

    private void inject(ControlCommand command, long now) {
        switch (command.name()) {
            case "lag" -> {
                lagMicros = command.durationMicros(1);
                lagUntilMicros = now + command.durationMicros(2);
            }
            case "hang" -> hangUntilMicros = now + command.durationMicros(1);
            case "err" -> failUntilMicros = now + command.durationMicros(1);
            case "empty" -> emptyUntilMicros = now + command.durationMicros(1);
            default ->
                    throw new IllegalArgumentException(
                            "unknown; known are lag MS FOR_MS, hang MS, err MS, empty MS");
        }
    }

    boolean isHanging(long nowMicros) {
        return nowMicros < hangUntilMicros;
    }

    long hangUntilMicros() {
        return hangUntilMicros;
    }

    boolean isFailing(long nowMicros) {
        return nowMicros < failUntilMicros;
    }

    boolean listsNothing(long nowMicros) {
        return nowMicros < emptyUntilMicros;
    }

    /** {@return as of when leases are published} */
    long visibleAt(long nowMicros) {
        return nowMicros < lagUntilMicros ? nowMicros - lagMicros : nowMicros;
    }
}
