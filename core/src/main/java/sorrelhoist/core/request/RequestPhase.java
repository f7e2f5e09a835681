package sorrelhoist.core.request;

import java.util.EnumMap;
import java.util.Map;

/** The phases of a request, and the transitions between them. */
enum RequestPhase {
    /** No attempt is running and there is no prefill state to fetch. */
    WAITING,
    /** A prefill attempt is running. */
    PREFILLING,
    /** The prefill state is held at its engine, and no attempt is running. */
    PREFILLED,
    /** A decode attempt is running and no token has been received yet. */
    DECODE_PENDING,
    /** Tokens are being received. */
    STREAMING,
    /** The client has received its final result or has disconnected. */
    COMPLETED;

    /** An event that moves a request to its next phase. */
    enum Transition {
        PREFILL_SENT,
        PREFILL_COMPLETED,
        PREFILL_FAILED,
        DECODE_SENT,
        DECODE_FAILED,
        PREFILL_STATE_LOST,
        FIRST_TOKEN,
        TOKEN,
        STREAM_COMPLETED,
        STREAM_BROKEN,
        REJECTED,
        FAILED,
        CLIENT_DISCONNECTED,
        DEADLINE_EXCEEDED
    }

    private static final Map<RequestPhase, Map<Transition, RequestPhase>> TRANSITIONS =
            new EnumMap<>(RequestPhase.class);

    static {
        allow(WAITING, Transition.PREFILL_SENT, PREFILLING);
        allow(WAITING, Transition.DECODE_SENT, DECODE_PENDING);
        allow(PREFILLING, Transition.PREFILL_COMPLETED, PREFILLED);
        allow(PREFILLING, Transition.PREFILL_FAILED, WAITING);
        allow(PREFILLED, Transition.DECODE_SENT, DECODE_PENDING);
        allow(PREFILLED, Transition.PREFILL_SENT, PREFILLING);
        allow(DECODE_PENDING, Transition.DECODE_FAILED, PREFILLED);
        allow(DECODE_PENDING, Transition.PREFILL_STATE_LOST, WAITING);
        allow(DECODE_PENDING, Transition.FIRST_TOKEN, STREAMING);
        // An answer may have no tokens: the engine completed the request at once.
        allow(DECODE_PENDING, Transition.STREAM_COMPLETED, COMPLETED);
        allow(STREAMING, Transition.TOKEN, STREAMING);
        allow(STREAMING, Transition.STREAM_COMPLETED, COMPLETED);
        // A resumed stream starts over with the original prompt and the generated text as its
        // prompt.
        allow(STREAMING, Transition.STREAM_BROKEN, WAITING);
        for (RequestPhase phase : values()) {
            if (phase == COMPLETED) {
                continue;
            }
            allow(phase, Transition.FAILED, COMPLETED);
            allow(phase, Transition.CLIENT_DISCONNECTED, COMPLETED);
            allow(phase, Transition.DEADLINE_EXCEEDED, COMPLETED);
            if (phase != STREAMING) {
                allow(phase, Transition.REJECTED, COMPLETED);
            }
        }
    }

    private static void allow(RequestPhase from, Transition transition, RequestPhase to) {
        TRANSITIONS
                .computeIfAbsent(from, phase -> new EnumMap<>(Transition.class))
                .put(transition, to);
    }

    /**
     * {@return the phase that a transition from this phase leads to}
     *
     * @throws IllegalStateException if the transition is not allowed in this phase
     */
    RequestPhase after(Transition transition) {
        RequestPhase next = TRANSITIONS.getOrDefault(this, Map.of()).get(transition);
        if (next == null) {
            throw new IllegalStateException(transition + " is not allowed in phase " + this);
        }
        return next;
    }
}
