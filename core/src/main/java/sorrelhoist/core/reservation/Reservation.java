package sorrelhoist.core.reservation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sorrelhoist.core.reservation.Hold.Certainty;

/** The holds of one key, the attempt that may take them, and the calls that release them. */
final class Reservation {
    /** Calls that follow each other at the retry interval; then each wait doubles. */
    private static final int CALLS_BEFORE_BACKOFF = 4;

    /**
     * A hold that is not known to be gone.
     *
     * @param hold what is held
     * @param provableFrom from when on a call that is made proves that it is gone
     * @param needed whether an attempt of the request will take it
     */
    private record OpenHold(Hold hold, long provableFrom, boolean needed) {}

    /** The running attempt. */
    private static final class Attempt {
        final AttemptPurpose purpose;

        /** Whether the holds were being released until this attempt went out. */
        final boolean stoppedRelease;

        boolean written;

        Attempt(AttemptPurpose purpose, boolean stoppedRelease) {
            this.purpose = purpose;
            this.stoppedRelease = stoppedRelease;
        }
    }

    final ReservationKey key;

    /** The time of the table's timer for it; Long.MAX_VALUE for none. */
    long timerAt = Long.MAX_VALUE;

    private final ReleasePolicy policy;
    private final List<OpenHold> holds = new ArrayList<>();

    /** Calls that were made and not answered, with the time of each. */
    private final Map<Long, Long> calls = new HashMap<>();

    private final Set<String> asked = new HashSet<>();
    private Attempt attempt;
    private boolean unwanted;
    private long idleSince;
    private long callableFrom;
    private long expiresAt = Long.MAX_VALUE;
    private int callsMade;
    private String lastAsked = "";

    Reservation(ReservationKey key, ReleasePolicy policy, long now) {
        this.key = key;
        this.policy = policy;
        this.idleSince = now;
    }

    // What happens to its request

    void opened(Hold hold, long now) {
        boolean possible = hold.certainty() == Certainty.POSSIBLE;
        holds.add(new OpenHold(hold, possible ? now + policy.settleMicros() : now, !possible));
        callableFrom = Math.min(callableFrom, now);
    }

    void attemptSent(AttemptPurpose purpose) {
        attempt = new Attempt(purpose, unwanted);
        unwanted = false;
    }

    void attemptWritten() {
        if (attempt != null) {
            attempt.written = true;
        }
    }

    /** A connection to the attempt's engine has to come up first. */
    void attemptConnecting() {
        if (attempt != null) {
            attempt.written = false;
        }
    }

    /** No attempt will use the prefill states; decode slots may still be used. */
    void prefillStatesUnneeded() {
        holds.replaceAll(
                open ->
                        new OpenHold(
                                open.hold(),
                                open.provableFrom(),
                                open.needed() && !open.hold().decodeSlot().isEmpty()));
    }

    /**
     * The attempt ended. Where it never reached its engine, the time of what is held has run on,
     * and a release that had begun before it goes on.
     */
    void attemptEnded(boolean reached, long now) {
        if (attempt != null && attempt.stoppedRelease && !reached) {
            unwanted = true;
            callableFrom = Math.min(callableFrom, now);
        }
        attempt = null;
        idleSince = reached ? now : idleSince;
    }

    /** Nothing will take what is held any more. */
    void unwanted() {
        unwanted = true;
    }

    boolean isUnwanted() {
        return unwanted;
    }

    /**
     * A stream began: its engine has taken all that was held, but for what a lost prefill may yet
     * leave.
     */
    void taken(long now) {
        holds.removeIf(open -> open.provableFrom() <= now);
        attempt = null;
        unwanted = true;
        callableFrom = holds.stream().mapToLong(OpenHold::provableFrom).min().orElse(now);
    }

    boolean holdsNothing() {
        return holds.isEmpty();
    }

    // Releases

    /** {@return when the next call is due; Long.MAX_VALUE for never as things are} */
    long due() {
        long releasableFrom = holds.isEmpty() ? Long.MAX_VALUE : releasableFrom();
        return releasableFrom == Long.MAX_VALUE
                ? Long.MAX_VALUE
                : Math.min(expiresAt, Math.max(callableFrom, releasableFrom));
    }

    private long releasableFrom() {
        if (unwanted && attempt == null) {
            return Long.MIN_VALUE;
        }
        boolean mayTake =
                attempt != null
                        && attempt.written
                        && (attempt.purpose == AttemptPurpose.DECODE_RESERVED
                                || holds.stream().allMatch(OpenHold::needed));
        return mayTake ? Long.MAX_VALUE : idleSince + policy.idleMicros();
    }

    boolean isExpired(long now) {
        return now >= expiresAt;
    }

    /** {@return the hold whose engine is asked first} */
    Hold latest() {
        return holds.get(holds.size() - 1).hold();
    }

    Set<String> asked() {
        return asked;
    }

    /** A call was made. */
    void called(long call, String engine, long now) {
        calls.put(call, now);
        asked.add(engine);
        lastAsked = engine;
        callsMade++;
        waitForAnswer(now);
    }

    /** No engine can be asked now. */
    void waitForAnswer(long now) {
        // The first few follow each other quickly, as the limit runs; after that it is too late for
        // haste.
        callableFrom =
                now + (policy.retryMicros() << Math.max(0, callsMade - CALLS_BEFORE_BACKOFF));
        expiresAt = expiresAt == Long.MAX_VALUE ? now + policy.expiryMicros() : expiresAt;
    }

    /** A call ended without a release: another engine is asked, the first few at once. */
    void callFailed(long call, boolean others, long now) {
        if (calls.remove(call) != null && others && callsMade < CALLS_BEFORE_BACKOFF) {
            callableFrom = now;
        }
    }

    /**
     * A call released all that could be proven when it was made. {@return whether the call was
     * waited for}
     */
    boolean callDone(long call) {
        Long madeAt = calls.remove(call);
        if (madeAt == null) {
            return false;
        }
        holds.removeIf(open -> open.provableFrom() <= madeAt);
        callableFrom = holds.stream().mapToLong(OpenHold::provableFrom).min().orElse(0);
        resetCalls();
        return true;
    }

    /** {@return the calls that are not waited for any more} */
    List<Long> abandonCalls() {
        List<Long> abandoned = List.copyOf(calls.keySet());
        calls.clear();
        resetCalls();
        return abandoned;
    }

    private void resetCalls() {
        asked.clear();
        expiresAt = Long.MAX_VALUE;
        callsMade = 0;
    }

    void forgetAsked() {
        asked.clear();
    }

    int callsMade() {
        return callsMade;
    }

    String lastAsked() {
        return lastAsked.isEmpty() && !holds.isEmpty() ? latest().engine() : lastAsked;
    }
}
