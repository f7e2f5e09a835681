package sorrelhoist.core.request;

import java.util.ArrayDeque;
import sorrelhoist.core.reservation.ReservationKey;

/**
 * One request's life: its phase, its attempts, what is held for it, and what its client has got.
 */
final class Life {
    /** One send, until its one outcome. */
    static final class Attempt {
        final AttemptId id;
        final String engine;
        final int kind;
        final boolean read;
        final long sentAt;
        final long cutAt;
        boolean ended;
        boolean started;

        /**
         * Whether its last byte was written; carriers that cannot tell say nothing, and it counts
         * as written.
         */
        boolean written = true;

        long heardAt;

        Attempt(AttemptId id, String engine, int kind, boolean read, long sentAt, long cutAt) {
            this.id = id;
            this.engine = engine;
            this.kind = kind;
            this.read = read;
            this.sentAt = sentAt;
            this.cutAt = cutAt;
        }
    }

    static final long NEVER = Long.MIN_VALUE;
    private static final int HISTORY = 8;

    final long client;
    final InferenceRequest call;
    final long arrivedAt;

    /** Until the whole answer has to be given; Long.MAX_VALUE where the client did not say. */
    final long endsBy;

    final StringBuilder answered = new StringBuilder();
    long decideId;
    String name;
    Phase phase = Phase.WAITING;
    boolean finished;
    int sends;

    /** When the first attempt that may have had an effect was sent; {@link #NEVER} for none. */
    long mayHaveRunFrom = NEVER;

    int resumptions;
    int tokens;

    /** Since when the client takes nothing; 0 while it does. */
    long blockedSince;

    Attempt out;

    /** What the next writer is to fetch; null where nothing is. */
    HeldPrefillState state;

    ReservationKey stateKey;
    String placeEngine;
    String place = "";

    Life(long client, InferenceRequest call, long arrivedAt, long endsBy) {
        this.client = client;
        this.call = call;
        this.arrivedAt = arrivedAt;
        this.endsBy = endsBy;
    }

    /** What happened lately, oldest first: for the log alone. */
    private final ArrayDeque<Phase.Step> lately = new ArrayDeque<>(HISTORY);

    /**
     * Takes a step; where the client has its answer already, what still comes in changes nothing.
     */
    void step(Phase.Step step) {
        if (step != lately.peekLast()) {
            if (lately.size() == HISTORY) {
                lately.pollFirst();
            }
            lately.addLast(step);
        }
        if (phase != Phase.ENDED) {
            phase = phase.after(step);
        }
    }

    /** {@return what happened lately, written when it is needed} */
    Object history() {
        return lately;
    }

    String prompt() {
        return answered.length() == 0 ? call.prompt() : call.prompt() + answered;
    }

    long promptTokens() {
        return call.promptTokens() + tokens;
    }
}
