package sorrelhoist.core.request;

import java.util.ArrayDeque;
import sorrelhoist.core.reservation.ReservationKey;

/**
 * The state of one request: its phase, its running attempt, what is reserved for it, and what its
 * client has received.
 */
final class RequestState {
    /** In place of a time: it did not happen. */
    static final long NEVER = Long.MIN_VALUE;

    /** In place of a deadline: the client gave none. */
    static final long NO_DEADLINE = Long.MAX_VALUE;

    private static final int HISTORY_LENGTH = 8;

    final long clientId;
    final InferenceRequest parameters;

    /** Until when the whole answer has to be given, or {@link #NO_DEADLINE}. */
    final long deadline;

    /** Its number at the routing policy; a stream that is resumed gets a new one. */
    long routingId;

    /** Its name at engines. */
    String name;

    RequestPhase phase = RequestPhase.WAITING;

    /** Whether nothing is owed to the client any more. */
    boolean finished;

    /** Sends under the present number at the routing policy. */
    int sends;

    /** When the first attempt that may have had an effect was sent, or {@link #NEVER}. */
    long mayHaveRunFrom = NEVER;

    /** How often its stream was resumed at another engine. */
    int resumptions;

    /** Tokens that its client has received. */
    int tokens;

    /** The text that its client has received. */
    final StringBuilder generatedText = new StringBuilder();

    /** Since when the client takes nothing; 0 while it does. */
    long blockedSince;

    /** The attempt whose outcome is not known yet, or null. */
    Attempt runningAttempt;

    /** What the next decode engine is to fetch, or null. */
    HeldPrefillState prefillState;

    /** The reservation of {@link #prefillState}, or null. */
    ReservationKey prefillStateKey;

    /** The engine that holds a decode slot for it, or null. */
    String decodeSlotEngine;

    /** The slot's name there, or empty. */
    String decodeSlot = "";

    /** The latest transitions, oldest first: for the log alone. */
    private final ArrayDeque<RequestPhase.Transition> history = new ArrayDeque<>(HISTORY_LENGTH);

    RequestState(long clientId, InferenceRequest parameters, long deadline) {
        this.clientId = clientId;
        this.parameters = parameters;
        this.deadline = deadline;
    }

    /**
     * Moves to the next phase. Once the request is completed, what still comes in changes nothing.
     *
     * @throws IllegalStateException if the transition cannot follow the present phase
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

    /** {@return the latest transitions; turned into text only where it is logged} */
    Object history() {
        return history;
    }

    /** {@return whether its client receives tokens now} */
    boolean isStreaming() {
        return !finished && phase == RequestPhase.STREAMING;
    }

    boolean hasDeadline() {
        return deadline < NO_DEADLINE;
    }

    /** {@return the text to read, with what was generated so far where a stream is resumed} */
    String prompt() {
        return generatedText.length() == 0
                ? parameters.prompt()
                : parameters.prompt() + generatedText;
    }

    long promptTokens() {
        return parameters.promptTokens() + tokens;
    }
}
