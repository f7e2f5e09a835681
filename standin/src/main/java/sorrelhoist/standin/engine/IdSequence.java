package sorrelhoist.standin.engine;

/** Names prefill states and reservations: the engine's id, a letter for the kind, a number. */
final class IdSequence {
    private final String engineId;
    private long last;

    IdSequence(String engineId) {
        this.engineId = engineId;
    }

    String nextStateId() {
        return next("-s");
    }

    String nextReservationId() {
        return next("-p");
    }

    private String next(String kind) {
        last++;
        return engineId + kind + last;
    }
}
