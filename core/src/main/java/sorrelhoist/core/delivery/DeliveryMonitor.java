package sorrelhoist.core.delivery;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.function.LongConsumer;
import sorrelhoist.core.delivery.AttemptDelivery.Evidence;
import sorrelhoist.core.time.TimerQueue;

/**
 * Watches written attempts until there is evidence that they were delivered to their engines.
 *
 * <p>Evidence is an answer to the attempt, or to any call that was written to the engine later:
 * either shows that the engine was running after the attempt was written. Other bytes are no
 * evidence, as their send time is unknown. If there is no evidence for some time, the engine is
 * sent a liveness check, a call without side effects. If the engine does not answer this either,
 * the attempt is reported as unconfirmed. It stays watched until it ends, as its engine may have
 * been suspended only briefly.
 *
 * <p>The connection of the attempt may be silent while another one is not. Evidence therefore
 * decides whether a request is sent to another engine, but postpones the release of its holds only
 * by a bounded time.
 *
 * <p>Not thread-safe.
 *
 * @param <A> identifies an attempt to the listener
 */
public final class DeliveryMonitor<A> {
    /**
     * Minimum lateness at which a delivery check is postponed once, in microseconds. A check this
     * late was delayed together with the whole router: data that engines sent meanwhile is still in
     * its socket buffers and has to be read first.
     */
    static final long LATE_CHECK_MICROS = 5000;

    /**
     * Number of event loop iterations that a liveness check takes; each may be as late as the
     * delivery check that is postponed.
     */
    private static final int LIVENESS_CHECK_ITERATIONS = 4;

    private static final int MAX_BACKOFF_SHIFT = 3;

    private final DeliveryPolicy policy;
    private final Listener<A> listener;
    private final Map<String, EngineWatch<A>> engines = new HashMap<>();
    private final TimerQueue<LongConsumer> timers = new TimerQueue<>();
    private long livenessChecksSent;
    private long unconfirmedCount;

    /**
     * Receives the findings of the monitor, called from within its methods.
     *
     * @param <A> identifies an attempt
     */
    public interface Listener<A> {
        /**
         * Sends a liveness check to an engine. Its end is reported with {@link
         * DeliveryMonitor#livenessCheckEnded}, in a later iteration of the event loop.
         */
        void checkLiveness(String engine);

        /** The delivery of an attempt was inferred from an answer to another call. */
        void delivered(A attempt);

        /** The delivery of an attempt was not confirmed in time. */
        void unconfirmed(A attempt);
    }

    /**
     * Creates a monitor without attempts.
     *
     * @param policy how long attempts may go unconfirmed
     * @param listener receives the findings
     */
    public DeliveryMonitor(DeliveryPolicy policy, Listener<A> listener) {
        this.policy = policy;
        this.listener = listener;
    }

    // Attempts

    /**
     * Records that the last byte of an attempt was written, and starts to watch it.
     *
     * @param attempt identifies the attempt
     * @param delivery the delivery state of the attempt
     * @param heldSince when the holds of its request began to wait; {@code now} if there are none
     * @param now the time, in microseconds
     */
    public void written(A attempt, AttemptDelivery delivery, long heldSince, long now) {
        delivery.written(now);
        watch(delivery.engine()).attempts.put(attempt, delivery);
        long livenessCheckAt = Math.max(now, heldSince + policy.livenessCheckAfterMicros());
        long confirmBy =
                Math.max(now + policy.minAttemptMicros(), heldSince + policy.confirmAfterMicros());
        timers.schedule(
                livenessCheckAt,
                time ->
                        checkLivenessFor(
                                attempt, delivery, confirmBy, time - livenessCheckAt, time));
    }

    /** Records that an engine answered the attempt, which ends the watch. */
    public void answered(A attempt, AttemptDelivery delivery) {
        delivery.delivered(Evidence.ANSWERED);
        ended(attempt, delivery);
    }

    /** Stops watching an attempt that ended. */
    public void ended(A attempt, AttemptDelivery delivery) {
        EngineWatch<A> watch = engines.get(delivery.engine());
        if (watch != null) {
            watch.attempts.remove(attempt);
            removeIfUnneeded(delivery.engine(), watch);
        }
    }

    private void checkLivenessFor(
            A attempt, AttemptDelivery delivery, long confirmBy, long late, long now) {
        if (isWatched(attempt, delivery)) {
            checkLiveness(delivery.engine(), engines.get(delivery.engine()), now);
            long checkAt = Math.max(confirmBy, now + policy.livenessResponseMicros());
            timers.schedule(
                    checkAt,
                    time -> check(attempt, delivery, Math.max(late, time - checkAt), time));
        }
    }

    private void check(A attempt, AttemptDelivery delivery, long late, long now) {
        if (!isWatched(attempt, delivery)) {
            return;
        }
        if (late >= LATE_CHECK_MICROS) {
            long delay = Math.min(LIVENESS_CHECK_ITERATIONS * late, policy.minAttemptMicros());
            timers.schedule(now + delay, time -> check(attempt, delivery, 0, time));
        } else if (isSilent(delivery, now)) {
            unconfirmedCount++;
            delivery.markReportedUnconfirmed();
            listener.unconfirmed(attempt);
        } else {
            // The liveness check could not be sent, or was sent only a moment ago.
            timers.schedule(
                    now + policy.minAttemptMicros(), time -> check(attempt, delivery, 0, time));
        }
    }

    /**
     * {@return whether an engine has not answered a liveness check in time, or the attempt has been
     * unconfirmed for the whole limit}
     */
    private boolean isSilent(AttemptDelivery delivery, long now) {
        return engines.get(delivery.engine()).isSilentSince(now - policy.livenessResponseMicros())
                || now - delivery.writtenAt() >= policy.limitMicros();
    }

    private boolean isWatched(A attempt, AttemptDelivery delivery) {
        EngineWatch<A> watch = engines.get(delivery.engine());
        return watch != null && watch.attempts.get(attempt) == delivery;
    }

    // Engines

    /**
     * Starts to wait for the next response of an engine. An abandoned attempt may arrive or end
     * there shortly before that response. Sends a liveness check at once if the attempt does not
     * count as delivered; otherwise only if the engine does not respond by itself for a while.
     */
    public void awaitEngine(String engine, AttemptDelivery abandoned, long now) {
        EngineWatch<A> watch = watch(engine);
        watch.awaitResponse(now);
        if (abandoned.isDelivered()) {
            timers.schedule(
                    now + policy.livenessCheckAfterMicros(),
                    time -> checkLivenessIfAwaited(engine, time));
        } else {
            checkLiveness(engine, watch, now);
        }
    }

    private void checkLivenessIfAwaited(String engine, long now) {
        EngineWatch<A> watch = engines.get(engine);
        if (watch != null && watch.isAwaited()) {
            checkLiveness(engine, watch, now);
        }
    }

    /**
     * Stops waiting for an engine that left the endpoint list: what was in transit to it will not
     * arrive.
     */
    public void engineRemoved(String engine) {
        EngineWatch<A> watch = engines.get(engine);
        if (watch != null) {
            watch.stopAwaiting();
            removeIfUnneeded(engine, watch);
        }
    }

    /**
     * Records that an engine began to answer a call, which confirms the attempts that were written
     * before the call.
     *
     * @param engine the engine's id
     * @param writtenAt when the call was written, in microseconds
     * @return whether this is the response that {@link #awaitEngine} waits for
     */
    public boolean callAnswered(String engine, long writtenAt) {
        EngineWatch<A> watch = engines.get(engine);
        if (watch == null) {
            return false;
        }
        confirmAttempts(watch, writtenAt);
        boolean awaited = watch.responseReceived(writtenAt);
        removeIfUnneeded(engine, watch);
        return awaited;
    }

    private void confirmAttempts(EngineWatch<A> watch, long runningAfter) {
        Iterator<Map.Entry<A, AttemptDelivery>> entries = watch.attempts.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<A, AttemptDelivery> entry = entries.next();
            if (runningAfter > entry.getValue().writtenAt()) {
                entry.getValue().delivered(Evidence.ENGINE_RESPONSIVE);
                entries.remove();
                listener.delivered(entry.getKey());
            }
        }
    }

    /**
     * {@return a copy of the ids of engines with an unconfirmed attempt, an awaited response or an
     * open liveness check}
     */
    public Set<String> watchedEngines() {
        return Set.copyOf(engines.keySet());
    }

    private EngineWatch<A> watch(String engine) {
        return engines.computeIfAbsent(engine, name -> new EngineWatch<>());
    }

    private void removeIfUnneeded(String engine, EngineWatch<A> watch) {
        if (watch.isRemovable()) {
            engines.remove(engine);
        }
    }

    // Liveness checks

    private void checkLiveness(String engine, EngineWatch<A> watch, long now) {
        if (watch.openLivenessCheck(now)) {
            livenessChecksSent++;
            listener.checkLiveness(engine);
        }
    }

    /**
     * Records that a liveness check could not be sent, so the silence of the engine is no evidence.
     */
    public void livenessCheckNotSent(String engine, long now) {
        EngineWatch<A> watch = engines.get(engine);
        if (watch != null && watch.isLivenessCheckOpen()) {
            watch.livenessCheckNotSent();
            livenessChecksSent--;
            livenessCheckEnded(engine, now);
        }
    }

    /**
     * Records the end of a liveness check, answered or not. Schedules the next one if it is still
     * needed.
     */
    public void livenessCheckEnded(String engine, long now) {
        EngineWatch<A> watch = engines.get(engine);
        if (watch == null) {
            return;
        }
        watch.closeLivenessCheck();
        if (watch.isNeeded()) {
            int shift = Math.min(watch.unansweredLivenessChecks(), MAX_BACKOFF_SHIFT);
            // The interval counts from the send time: after a check that timed out, the next one
            // follows at once, so that an engine that returns is noticed.
            long interval = policy.livenessCheckAfterMicros() << shift;
            long nextAt = Math.max(now, watch.livenessCheckSentAt() + interval);
            timers.schedule(nextAt, time -> checkLivenessAgain(engine, time));
        }
        removeIfUnneeded(engine, watch);
    }

    private void checkLivenessAgain(String engine, long now) {
        EngineWatch<A> watch = engines.get(engine);
        if (watch != null && watch.isNeeded()) {
            checkLiveness(engine, watch, now);
        }
    }

    // Timers

    /** Sends the liveness checks and makes the reports that are due. */
    public void advance(long now) {
        for (LongConsumer due = timers.pollDue(now); due != null; due = timers.pollDue(now)) {
            due.accept(now);
        }
    }

    /** {@return when {@link #advance} is next needed, in microseconds; Long.MAX_VALUE for never} */
    public long nextDueMicros() {
        return timers.nextDueMicros();
    }

    // Counters for the metrics line

    /** {@return the number of liveness checks sent since the start} */
    public long livenessChecksSent() {
        return livenessChecksSent;
    }

    /** {@return the number of attempts reported as unconfirmed since the start} */
    public long unconfirmedCount() {
        return unconfirmedCount;
    }

    /** {@return the number of attempts that are not confirmed yet} */
    public int watchedCount() {
        return engines.values().stream().mapToInt(watch -> watch.attempts.size()).sum();
    }
}
