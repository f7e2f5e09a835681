package sorrelhoist.core.request;

import java.util.ArrayDeque;
import sorrelhoist.core.reservation.ReservationKey;

/**
 * The state of one request: its phase, its running attempt, the engine resources reserved for it,
 * and the tokens that its client has received.
 */
final class RequestState {
    /** Placeholder for the time of something that has not happened. */
    static final long NEVER = Long.MIN_VALUE;

    /** Placeholder for the deadline of a client that set none. */
    static final long NO_DEADLINE = Long.MAX_VALUE;

    private static final int HISTORY_LENGTH = 8;

    final long clientId;
    final InferenceRequest parameters;

    /** Deadline for the whole answer, or {@link #NO_DEADLINE}. */
    final long deadline;

    /** ID of the request at the routing policy; a resumed stream gets a new one. */
    long routingId;

    /** The name under which engines know the request. */
    String name;

    RequestPhase phase = RequestPhase.WAITING;

    /** Whether the client has received its final result or has disconnected. */
    boolean finished;

    /** Number of sends ordered under the current {@link #routingId}. */
    int sendCount;

    /** When the first attempt that may have had a side effect was sent, or {@link #NEVER}. */
    long mayHaveRunSince = NEVER;

    /** How often the stream was resumed. */
    int resumptionCount;

    /** Number of tokens delivered to the client. */
    int tokens;

    /** Text delivered to the client; stays empty for opaque events. */
    final StringBuilder generatedText = new StringBuilder();

    /** Since when the client has not been reading; 0 while it reads. */
    long blockedSince;

    /** Whether a check for a stalled client is scheduled. */
    boolean stallCheckScheduled;

    /** The attempt whose outcome is not known yet, or null if none is running. */
    Attempt runningAttempt;

    /** The prefill state that the next decode engine has to fetch, or null. */
    HeldPrefillState prefillState;

    /** Key of the reservation of {@link #prefillState}, or null. */
    ReservationKey prefillStateKey;

    /** The engine that holds a decode slot for the request, or null. */
    String decodeSlotEngine;

    /** Name of the decode slot at that engine, or empty. */
    String decodeSlot = "";

    /** The latest transitions, oldest first; used only for logging. */
    private final ArrayDeque<RequestPhase.Transition> history = new ArrayDeque<>(HISTORY_LENGTH);

    RequestState(long clientId, InferenceRequest parameters, long deadline) {
        this.clientId = clientId;
        this.parameters = parameters;
        this.deadline = deadline;
    }

    /**
     * Moves to the next phase. Once the request is completed, further transitions are recorded in
     * the history but do not change the phase.
     *
     * @throws IllegalStateException if the transition is not allowed in the current phase
     */
    void apply(RequestPhase.Transition transition) {
        if (transition != history.peekLast()) {
            if (history.size() == HISTORY_LENGTH) {
                history.pollFirst();
            }
            history.addLast(transition);
        }
        if (phase != RequestPhase.COMPLETED) {
            phase = phase.after(transition);
        }
    }

    /**
     * {@return the latest transitions, oldest first} The result is an object so that it is
     * formatted as text only if it is logged.
     */
    Object history() {
        return history;
    }

    /** {@return whether the client is currently receiving tokens} */
    boolean isStreaming() {
        return !finished && phase == RequestPhase.STREAMING;
    }

    boolean hasDeadline() {
        return deadline < NO_DEADLINE;
    }

    /**
     * {@return the text to prefill; for a resumed stream, the client's prompt followed by the text
     * generated so far}
     */
    String prompt() {
        return generatedText.length() == 0
                ? parameters.prompt()
                : parameters.prompt() + generatedText;
    }

    long promptTokens() {
        return parameters.promptTokens() + tokens;
    }
}
