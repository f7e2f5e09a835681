package sorrelhoist.standin.engine;

import sorrelhoist.protocol.engine.DecodeRequest;
import sorrelhoist.protocol.engine.PrefillRequest;
import sorrelhoist.standin.TraceWriter;

/**
 * The trace events of an engine. Event names, keys and outcomes are read by the judge of the lab:
 * they are a stored form.
 */
final class EngineTrace {
    private final TraceWriter out;

    /** How a prefill or decode attempt ended, with the word that the trace uses. */
    enum Outcome {
        REJECTED("full"),
        FAILED("error"),
        CANCELLED("cancelled"),
        LOST("lost"),
        PREFILLED("read"),
        DECODED("done"),
        NO_STATE("no state");

        private final String word;

        Outcome(String word) {
            this.word = word;
        }
    }

    EngineTrace(TraceWriter out) {
        this.out = out;
    }

    void started(EngineSettings settings, int port) {
        out.write(
                "start",
                "engine",
                settings.id(),
                "role",
                settings.role(),
                "zone",
                settings.zone(),
                "rack",
                settings.rack(),
                "port",
                port,
                "warm",
                settings.warm(),
                "coldFrom",
                settings.coldFrom(),
                "coldMicros",
                settings.coldMicros(),
                "fallMultiple",
                settings.fallMultiple(),
                "fallMicros",
                settings.fallMicros(),
                "warmSends",
                settings.warmSendsPerSecond());
    }

    void prefillReceived(PrefillRequest request) {
        out.write(
                "prefill",
                "req",
                request.requestId(),
                "client",
                request.clientId(),
                "edge",
                request.edge(),
                "attempt",
                request.attempt(),
                "cls",
                request.requestClass(),
                "tokens",
                request.promptTokens());
    }

    void prefillEnded(PrefillRequest request, Outcome outcome) {
        out.write(
                "prefill_end",
                "req",
                request.requestId(),
                "attempt",
                request.attempt(),
                "how",
                outcome.word);
    }

    void decodeReceived(DecodeRequest request) {
        out.write(
                "decode",
                "req",
                request.requestId(),
                "client",
                request.clientId(),
                "edge",
                request.edge(),
                "attempt",
                request.attempt(),
                "cls",
                request.requestClass(),
                "from",
                request.firstTokenIndex(),
                "state",
                request.stateId());
    }

    /** The first token of an attempt is about to be sent: from here on it has had an effect. */
    void decodeRan(DecodeRequest request) {
        out.write(
                "run",
                "req",
                request.requestId(),
                "client",
                request.clientId(),
                "attempt",
                request.attempt(),
                "cls",
                request.requestClass(),
                "from",
                request.firstTokenIndex());
    }

    void decodeEnded(DecodeRequest request, Outcome outcome, int tokens) {
        out.write(
                "decode_end",
                "req",
                request.requestId(),
                "attempt",
                request.attempt(),
                "how",
                outcome.word,
                "tokens",
                tokens);
    }

    void stateHeld(PrefillState state, String clientId) {
        out.write("held", "req", state.requestId(), "client", clientId, "state", state.id());
    }

    void stateFreed(PrefillState state, PrefillStateStore.FreedBy cause) {
        out.write("freed", "req", state.requestId(), "state", state.id(), "how", cause.word());
    }

    /** More was sent to the cold engine than it survives. */
    void overloadedCold() {
        out.write("fell");
    }

    void controlReceived(String command) {
        out.write("told", "command", command);
    }
}
