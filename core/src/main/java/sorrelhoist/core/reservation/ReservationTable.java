package sorrelhoist.core.reservation;

import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import sorrelhoist.core.time.TimerQueue;

/**
 * What requests have reserved at engines, until it is known to be gone: the one place where that is
 * kept.
 *
 * <p>A hold is opened by each outcome that can leave something, also by prefills that were lost or
 * cancelled, and by decodes that may still stand in a queue. It ends by proof alone: {@link
 * HoldProof} says what is one. Until then a release goes out within the limit, counted from the
 * request's last outcome, whatever is inferred of the attempt that takes the hold: at once where
 * the request is over, after half the limit where no attempt is out or its connection does not come
 * up, after three fifths at the latest while nothing shows that it arrived, and after four fifths,
 * and again at that interval, where other connections show it. Only an answer on the attempt's own
 * connection puts it off for longer.
 *
 * <p>One thread at a time.
 */
public final class ReservationTable {
    private final ReleasePolicy policy;
    private final ReleaseTargetSelector targets;
    private final ReleaseClient releaseClient;
    private final int capacity;
    private final Map<ReservationKey, Reservation> reservations = new LinkedHashMap<>();
    private final Map<Long, Reservation> calls = new HashMap<>();

    /**
     * For each reservation an entry at the time at which it is due, or before; some are out of
     * date.
     */
    private final TimerQueue<Reservation> timers = new TimerQueue<>();

    private final Map<ReleaseCause, Long> callsByCause = new EnumMap<>(ReleaseCause.class);
    private long lastCall;
    private long expiredCount;

    /**
     * Makes an empty table.
     *
     * @param policy when releases are sent
     * @param targets chooses engines
     * @param releaseClient makes the calls
     * @param capacity keys at once; beyond, the oldest that nothing wants any more is given up on
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

    // What happens to requests

    /** Something is held, or may be. */
    public void opened(ReservationKey key, Hold hold, long now) {
        if (reservations.size() >= capacity && !reservations.containsKey(key)) {
            evictOldestUnwanted(now);
        }
        Reservation reservation =
                reservations.computeIfAbsent(key, k -> new Reservation(k, policy, now));
        reservation.opened(hold, now);
        scheduleTimer(reservation);
    }

    /**
     * A prefill ended well. Calls for what an earlier one may have left would take its state away.
     */
    public void prefillCompleted(ReservationKey key, Hold state, long now) {
        update(key, reservation -> abandonCalls(reservation, now));
        opened(key, state, now);
    }

    /** An attempt goes out. */
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

    /** The running attempt waits for a connection. */
    public void attemptConnecting(ReservationKey key, long now) {
        update(key, reservation -> reservation.attemptConnecting(now));
    }

    /**
     * No attempt will take the states that are held: the prompt is read again, or they could not be
     * fetched.
     */
    public void prefillStatesUnneeded(ReservationKey key) {
        update(key, Reservation::prefillStatesUnneeded);
    }

    /**
     * The last byte of the running attempt was written to a connection that stands. That alone does
     * not show that its engine has it.
     */
    public void attemptWritten(ReservationKey key, long now) {
        update(key, reservation -> reservation.attemptWritten(now));
    }

    /** The running attempt's engine has it, as far as evidence goes. */
    public void attemptDelivered(ReservationKey key, long now) {
        update(key, reservation -> reservation.attemptDelivered(now));
    }

    /** {@return whether a key holds anything} */
    public boolean isHeld(ReservationKey key) {
        return reservations.containsKey(key);
    }

    /**
     * {@return whether what a key holds was released while a decode was out that had not taken it}
     */
    public boolean wasReleasedBesideDecode(ReservationKey key) {
        Reservation reservation = reservations.get(key);
        return reservation != null && reservation.wasReleasedBesideDecode();
    }

    /** {@return since when what a key holds waits; {@code otherwise} where it holds nothing} */
    public long idleSince(ReservationKey key, long otherwise) {
        Reservation reservation = reservations.get(key);
        return reservation == null ? otherwise : reservation.idleSince();
    }

    /** An engine of which nothing was heard for a while was heard again. */
    public void engineHeard(String engine, long now) {
        for (Reservation reservation : reservations.values()) {
            reservation.engineHeard(engine, now);
            scheduleTimer(reservation);
        }
    }

    /** An engine left the endpoint list: nothing that was on its way there arrives any more. */
    public void engineRemoved(String engine, long now) {
        for (Reservation reservation : reservations.values()) {
            reservation.engineRemoved(engine, now);
            scheduleTimer(reservation);
        }
    }

    /**
     * The running attempt ended.
     *
     * @param key whose
     * @param ending how
     * @param now the time
     */
    public void attemptEnded(ReservationKey key, AttemptEnding ending, long now) {
        update(
                key,
                reservation -> {
                    reservation.attemptEnded(ending, now);
                    forgetIfEmpty(reservation, now);
                });
    }

    /** A stream began: its engine has taken what was held. */
    public void taken(ReservationKey key, long now) {
        update(
                key,
                reservation -> {
                    abandonCalls(reservation, now);
                    reservation.taken(now);
                    forgetIfEmpty(reservation, now);
                });
    }

    /** Nothing will take what is held: it is released at once, unless an attempt runs. */
    public void unwanted(ReservationKey key, long now) {
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

    // Calls

    /**
     * A call ended.
     *
     * @param call which; ones that are not waited for are passed over
     * @param done whether the engine said that it is released
     * @param now the time
     */
    public void releaseCompleted(long call, boolean done, long now) {
        Reservation reservation = calls.remove(call);
        if (reservation == null) {
            return;
        }
        if (!done) {
            reservation.callFailed(call, policy.reach() == ReleaseReach.ANY_ENGINE, now);
        } else if (reservation.callDone(call, now)) {
            abandonCalls(reservation, now);
            forgetIfEmpty(reservation, now);
        }
        advance(reservation, now);
        scheduleTimer(reservation);
    }

    /** Makes the calls that are due. */
    public void advance(long now) {
        for (Reservation due = timers.pollDue(now); due != null; due = timers.pollDue(now)) {
            due.timerAt = Long.MAX_VALUE;
            advance(due, now);
            scheduleTimer(due);
        }
    }

    /**
     * {@return when {@link #advance(long)} is next needed, or a little before; Long.MAX_VALUE for
     * never}
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
        String engine = targets.select(reservation.latest(), reservation.releases().asked());
        if (engine != null) {
            call(reservation, engine, now);
        } else if (policy.reach() == ReleaseReach.HOLDER) {
            // Its engine left the endpoint list, and what it held went with it.
            abandonCalls(reservation, now);
            reservations.remove(reservation.key);
        } else {
            // All were asked, or there are none: from the beginning, a little later.
            reservation.releases().forgetAsked();
            reservation.releases().waitForAnswer(now);
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
        reservation.called(call, engine, now);
        releaseClient.release(
                new ReleaseCall(call, reservation.key.requestName(), engine, reservation.latest()));
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
                reservation.key, reservation.lastAsked(), reservation.releases().callsMade());
    }

    private void forgetIfEmpty(Reservation reservation, long now) {
        if (reservation.holdsNothing()) {
            abandonCalls(reservation, now);
            reservations.remove(reservation.key);
            if (reservation.isWorthReporting()) {
                releaseClient.report(reservation.report(ReservationReport.State.RELEASED, now));
            }
        }
    }

    // For tests and logs

    /** {@return keys for which something is held or may be} */
    public int size() {
        return reservations.size();
    }

    /** {@return keys of which something was not released yet since it could be} */
    public int releasableCount() {
        return (int)
                reservations.values().stream()
                        .filter(reservation -> !reservation.isReleased())
                        .filter(reservation -> !reservation.releases().hasExpired())
                        .count();
    }

    /** {@return those among them that an attempt may still take} */
    public int wantedCount() {
        return (int)
                reservations.values().stream()
                        .filter(reservation -> !reservation.isUnwanted())
                        .count();
    }

    /** {@return calls that are under way} */
    public int releaseCallsInFlight() {
        return calls.size();
    }

    /** {@return how many releases were asked for since the start, by their cause} */
    public Map<ReleaseCause, Long> callsByCause() {
        return Collections.unmodifiableMap(callsByCause);
    }

    /** {@return how long the oldest of what is held has waited, in microseconds; 0 for nothing} */
    public long oldestMicros(long now) {
        return reservations.values().stream()
                .mapToLong(reservation -> now - reservation.idleSince())
                .max()
                .orElse(0);
    }

    /** {@return reservations that no engine has released in time, or that made room for others} */
    public long expiredCount() {
        return expiredCount;
    }
}
