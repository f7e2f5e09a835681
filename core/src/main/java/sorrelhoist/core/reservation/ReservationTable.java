package sorrelhoist.core.reservation;

import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import sorrelhoist.core.time.TimerQueue;

/**
 * Tracks what requests have reserved at engines until it is known to be gone. No other component
 * keeps this state.
 *
 * <p>Every outcome of an attempt that can leave a reservation opens a hold. This includes prefills
 * that were lost or cancelled, and decodes that may still be queued. A hold ends only when it is
 * proven to be gone; {@link HoldProof} defines the proofs. Until then a release is sent within the
 * limit, counted from the request's last outcome, whatever is inferred about the attempt that
 * consumes the hold:
 *
 * <ul>
 *   <li>at once if the request is over;
 *   <li>after half the limit if no attempt is in flight or its connection is not established;
 *   <li>after three fifths of the limit at the latest while the delivery of the attempt that
 *       consumes the hold is not confirmed;
 *   <li>after four fifths, and again at that interval, if the delivery is inferred from other
 *       connections.
 * </ul>
 *
 * <p>Only an answer on the attempt's own connection postpones the release for longer.
 *
 * <p>Not thread-safe.
 */
public final class ReservationTable {
    private final ReleasePolicy policy;
    private final ReleaseTargetSelector targets;
    private final ReleaseClient releaseClient;
    private final int capacity;
    private final Map<ReservationKey, Reservation> reservations = new LinkedHashMap<>();
    private final Map<Long, Reservation> calls = new HashMap<>();

    /** Each reservation has an entry at or before its due time; some entries are stale. */
    private final TimerQueue<Reservation> timers = new TimerQueue<>();

    private final Map<ReleaseCause, Long> callsByCause = new EnumMap<>(ReleaseCause.class);
    private long lastCall;
    private long expiredCount;

    /**
     * Creates an empty table.
     *
     * @param policy when releases are sent
     * @param targets selects the engines to call
     * @param releaseClient sends the calls
     * @param capacity the maximum number of keys; beyond it, the oldest reservation that no attempt
     *     needs is evicted, if there is one
     */
    public ReservationTable(
            ReleasePolicy policy,
            ReleaseTargetSelector targets,
            ReleaseClient releaseClient,
            int capacity) {
        this.policy = policy;
        this.targets = targets;
        this.releaseClient = releaseClient;
        this.capacity = capacity;
    }

    // Events of requests

    /** Records a hold that exists, or may exist. */
    public void addHold(ReservationKey key, Hold hold, long now) {
        if (reservations.size() >= capacity && !reservations.containsKey(key)) {
            evictOldestUnwanted(now);
        }
        Reservation reservation =
                reservations.computeIfAbsent(key, k -> new Reservation(k, policy, now));
        reservation.addHold(hold, now);
        scheduleTimer(reservation);
    }

    /**
     * Records that a prefill completed. Abandons the release calls for earlier prefills of the
     * request, as they would release the new state as well.
     */
    public void prefillCompleted(ReservationKey key, Hold state, long now) {
        update(key, reservation -> abandonCalls(reservation, now));
        addHold(key, state, now);
    }

    /** Records that an attempt is sent. */
    public void attemptSent(ReservationKey key, AttemptPurpose purpose, String engine, long now) {
        update(
                key,
                reservation -> {
                    if (purpose == AttemptPurpose.DECODE_RESERVED) {
                        abandonCalls(reservation, now);
                    }
                    reservation.attemptSent(purpose, engine, now);
                });
    }

    /** Records that the running attempt waits for a connection. */
    public void attemptConnecting(ReservationKey key, long now) {
        update(key, reservation -> reservation.attemptConnecting(now));
    }

    /**
     * Records that the prefill states are unneeded: the prompt is read again, or a fetch failed.
     */
    public void prefillStatesUnneeded(ReservationKey key) {
        update(key, Reservation::prefillStatesUnneeded);
    }

    /** Records that the last byte was written to a connection, which does not confirm delivery. */
    public void attemptWritten(ReservationKey key, long now) {
        update(key, reservation -> reservation.attemptWritten(now));
    }

    /** Records that the delivery of the running attempt was confirmed, directly or by inference. */
    public void attemptDelivered(ReservationKey key, long now) {
        update(key, reservation -> reservation.attemptDelivered(now));
    }

    /** {@return whether a key has any hold} */
    public boolean isHeld(ReservationKey key) {
        return reservations.containsKey(key);
    }

    /** {@return whether a release was sent during a decode that had not fetched the key's state} */
    public boolean wasReleasedDuringDecode(ReservationKey key) {
        Reservation reservation = reservations.get(key);
        return reservation != null && reservation.wasReleasedDuringDecode();
    }

    /**
     * {@return when the key's idle time began, in microseconds; {@code otherwise} if it has no
     * hold}
     */
    public long idleSince(ReservationKey key, long otherwise) {
        Reservation reservation = reservations.get(key);
        return reservation == null ? otherwise : reservation.idleSince();
    }

    /** Records that an engine responded after a period of silence. */
    public void engineResponded(String engine, long now) {
        for (Reservation reservation : reservations.values()) {
            reservation.engineResponded(engine, now);
            scheduleTimer(reservation);
        }
    }

    /**
     * Records that an engine left the endpoint list: nothing in transit to it will arrive any more.
     * The holds that wait for it are released for a further period.
     */
    public void engineRemoved(String engine, long now) {
        for (Reservation reservation : reservations.values()) {
            reservation.engineRemoved(engine, now);
            scheduleTimer(reservation);
        }
    }

    /**
     * Records that the running attempt ended.
     *
     * @param key the key of its reservation
     * @param ending how it ended
     * @param now the time, in microseconds
     */
    public void attemptEnded(ReservationKey key, AttemptEnding ending, long now) {
        update(
                key,
                reservation -> {
                    reservation.attemptEnded(ending, now);
                    forgetIfEmpty(reservation, now);
                });
    }

    /**
     * Records that a stream started: its engine has consumed the holds, except what a lost or
     * abandoned prefill may still create.
     */
    public void streamStarted(ReservationKey key, long now) {
        update(
                key,
                reservation -> {
                    abandonCalls(reservation, now);
                    reservation.streamStarted(now);
                    forgetIfEmpty(reservation, now);
                });
    }

    /** Releases the holds at once unless an attempt is running, as no attempt will consume them. */
    public void markUnwanted(ReservationKey key, long now) {
        update(
                key,
                reservation -> {
                    reservation.unwanted(now);
                    forgetIfEmpty(reservation, now);
                    advance(reservation, now);
                });
    }

    private void update(ReservationKey key, Consumer<Reservation> step) {
        Reservation reservation = reservations.get(key);
        if (reservation != null) {
            step.accept(reservation);
            scheduleTimer(reservation);
        }
    }

    // Release calls

    /**
     * Records the end of a release call.
     *
     * @param call the id of the call; unknown and abandoned calls are ignored
     * @param done whether the engine confirmed the release
     * @param now the time, in microseconds
     */
    public void releaseCompleted(long call, boolean done, long now) {
        Reservation reservation = calls.remove(call);
        if (reservation == null) {
            return;
        }
        if (!done) {
            reservation.releaseFailed(call, policy.reach() == ReleaseReach.ANY_ENGINE, now);
        } else if (reservation.releaseSucceeded(call, now)) {
            abandonCalls(reservation, now);
            forgetIfEmpty(reservation, now);
        }
        advance(reservation, now);
        scheduleTimer(reservation);
    }

    /** Sends the release calls that are due. */
    public void advance(long now) {
        for (Reservation due = timers.pollDue(now); due != null; due = timers.pollDue(now)) {
            due.timerAt = Long.MAX_VALUE;
            advance(due, now);
            scheduleTimer(due);
        }
    }

    /**
     * {@return when {@link #advance(long)} is next needed, or slightly earlier, in microseconds;
     * Long.MAX_VALUE for never}
     */
    public long nextDueMicros() {
        return timers.nextDueMicros();
    }

    private void scheduleTimer(Reservation reservation) {
        long due = reservation.due();
        if (due < reservation.timerAt && reservations.get(reservation.key) == reservation) {
            reservation.timerAt = due;
            timers.schedule(due, reservation);
        }
    }

    private void advance(Reservation reservation, long now) {
        if (reservation.due() > now || reservations.get(reservation.key) != reservation) {
            return;
        }
        if (reservation.releases().isExpired(now)) {
            expire(reservation, now);
            return;
        }
        String engine =
                targets.select(reservation.holdToRelease(), reservation.releases().calledEngines());
        if (engine != null) {
            call(reservation, engine, now);
        } else if (policy.reach() == ReleaseReach.HOLDER) {
            // The holder was called and has left the endpoint list; its resources are gone with it.
            abandonCalls(reservation, now);
            reservations.remove(reservation.key);
        } else {
            // Every engine was called, or there is none: start over after the retry interval.
            reservation.releases().clearCalledEngines();
            reservation.releases().scheduleNextCall(now);
        }
    }

    private void call(Reservation reservation, String engine, long now) {
        if (reservation.releases().hasExpired()) {
            abandonCalls(reservation, now);
        }
        long call = ++lastCall;
        calls.put(call, reservation);
        if (reservation.becameOverdue(now)) {
            releaseClient.report(reservation.report(ReservationReport.State.OVERDUE, now));
        }
        callsByCause.merge(reservation.releaseCause(), 1L, Long::sum);
        reservation.releaseSent(call, engine, now);
        releaseClient.release(
                new ReleaseCall(
                        call, reservation.key.requestName(), engine, reservation.holdToRelease()));
    }

    private void abandonCalls(Reservation reservation, long now) {
        for (long call : reservation.abandonCalls(now)) {
            calls.remove(call);
            releaseClient.abandon(call);
        }
    }

    private void evictOldestUnwanted(long now) {
        reservations.values().stream()
                .filter(Reservation::isUnwanted)
                .findFirst()
                .ifPresent(reservation -> evict(reservation, now));
    }

    private void evict(Reservation reservation, long now) {
        reportExpired(reservation);
        abandonCalls(reservation, now);
        reservations.remove(reservation.key);
    }

    private void expire(Reservation reservation, long now) {
        if (policy.reach() == ReleaseReach.HOLDER) {
            evict(reservation, now);
            return;
        }
        reportExpired(reservation);
        abandonCalls(reservation, now);
        reservation.expire(now);
    }

    private void reportExpired(Reservation reservation) {
        expiredCount++;
        releaseClient.expired(
                reservation.key,
                reservation.lastCalledEngine(),
                reservation.releases().callsSinceAnswer());
    }

    private void forgetIfEmpty(Reservation reservation, long now) {
        if (reservation.isEmpty()) {
            abandonCalls(reservation, now);
            reservations.remove(reservation.key);
            if (reservation.needsReport()) {
                releaseClient.report(reservation.report(ReservationReport.State.RELEASED, now));
            }
        }
    }

    // Counters for tests and logs

    /** {@return the number of keys with a hold that exists or may exist} */
    public int size() {
        return reservations.size();
    }

    /**
     * {@return the number of keys with a hold that was not released yet since its release became
     * due; keys whose release has expired are not counted}
     */
    public int releasableCount() {
        return (int)
                reservations.values().stream()
                        .filter(reservation -> !reservation.isReleased())
                        .filter(reservation -> !reservation.releases().hasExpired())
                        .count();
    }

    /** {@return the number of keys whose holds an attempt may still consume} */
    public int wantedCount() {
        return (int)
                reservations.values().stream()
                        .filter(reservation -> !reservation.isUnwanted())
                        .count();
    }

    /** {@return the number of release calls in flight} */
    public int releaseCallsInFlight() {
        return calls.size();
    }

    /** {@return the number of release calls sent since the start, by cause; unmodifiable} */
    public Map<ReleaseCause, Long> callsByCause() {
        return Collections.unmodifiableMap(callsByCause);
    }

    /** {@return the longest idle time of all reservations, in microseconds; 0 if there is none} */
    public long oldestMicros(long now) {
        return reservations.values().stream()
                .mapToLong(reservation -> now - reservation.idleSince())
                .max()
                .orElse(0);
    }

    /** {@return the number of reservations that expired unreleased or were evicted} */
    public long expiredCount() {
        return expiredCount;
    }
}
