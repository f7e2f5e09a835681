package sorrelhoist.core.request;

import java.util.EnumMap;
import java.util.Map;

/** Where a request stands, and which transitions lead on from there. */
enum Phase {
    /** Nothing is out and nothing held. */
    WAITING,
    /** A reader reads the prompt. */
    READING,
    /** The read state waits at its reader. */
    HOLDING,
    /** A writer has the request and has not begun to answer. */
    PLACED,
    /** Tokens come. */
    STREAMING,
    /** The client has its final answer, or is gone. */
    ENDED;

    /** What can happen to a request. */
    enum Step {
        SEND_READ,
        READ_DONE,
        READ_LOST,
        SEND_WRITE,
        WRITE_LOST,
        STATE_LOST,
        FIRST_TOKEN,
        TOKEN,
        LAST_TOKEN,
        BREAK,
        REFUSE,
        FAIL,
        CLIENT_GONE,
        EXPIRE
    }

    private static final Map<Phase, Map<Step, Phase>> WAYS = new EnumMap<>(Phase.class);

    static {
        way(WAITING, Step.SEND_READ, READING);
        way(WAITING, Step.SEND_WRITE, PLACED);
        way(READING, Step.READ_DONE, HOLDING);
        way(READING, Step.READ_LOST, WAITING);
        way(HOLDING, Step.SEND_WRITE, PLACED);
        way(HOLDING, Step.SEND_READ, READING);
        way(PLACED, Step.WRITE_LOST, HOLDING);
        way(PLACED, Step.STATE_LOST, WAITING);
        way(PLACED, Step.FIRST_TOKEN, STREAMING);
        // An answer without tokens is an answer: the writer finished at once.
        way(PLACED, Step.LAST_TOKEN, ENDED);
        way(STREAMING, Step.TOKEN, STREAMING);
        way(STREAMING, Step.LAST_TOKEN, ENDED);
        // The stream broke and goes on elsewhere: its prompt and what was answered are read anew.
        way(STREAMING, Step.BREAK, WAITING);
        for (Phase open : new Phase[] {WAITING, READING, HOLDING, PLACED, STREAMING}) {
            way(open, Step.FAIL, ENDED);
            way(open, Step.CLIENT_GONE, ENDED);
            way(open, Step.EXPIRE, ENDED);
            if (open != STREAMING) {
                way(open, Step.REFUSE, ENDED);
            }
        }
    }

    private static void way(Phase from, Step step, Phase to) {
        WAYS.computeIfAbsent(from, p -> new EnumMap<>(Step.class)).put(step, to);
    }

    /** {@return where the step leads} */
    Phase after(Step step) {
        Phase to = WAYS.getOrDefault(this, Map.of()).get(step);
        if (to == null) {
            throw new IllegalStateException(step + " cannot follow " + this);
        }
        return to;
    }
}
