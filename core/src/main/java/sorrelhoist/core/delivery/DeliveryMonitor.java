package sorrelhoist.core.delivery;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.function.LongConsumer;
import sorrelhoist.core.delivery.AttemptDelivery.Evidence;
import sorrelhoist.core.time.TimerQueue;

/**
 * Watches attempts whose last byte was written until something shows that their engines have them.
 *
 * <p>Evidence is an answer to the attempt, or to any call that was written to the engine later: the
 * engine runs after the attempt was written. Other bytes show nothing, as nothing tells when they
 * were sent. Where there is no evidence for a while, the engine is asked for a sign of life by a
 * call that changes nothing; where that is not answered either, the attempt is reported as
 * unconfirmed. It stays watched until it ends, as its engine may have been stopped for a moment.
 *
 * <p>The attempt's own connection may be silent though another one is not. So evidence decides
 * whether a request is sent elsewhere, and puts the release of what is held for it off by a bounded
 * time alone.
 *
 * <p>One thread at a time.
 *
 * @param <A> names an attempt to the listener
 */
public final class DeliveryMonitor<A> {
    /**
     * A check that is so late was held up together with the router: what engines have sent
     * meanwhile still lies in its sockets, so the check is put off once until they were read.
     */
    static final long LATE_MICROS = 5000;

    /** What a question takes in turns of the router, each of which may be as late. */
    private static final int TURNS_OF_A_QUESTION = 4;

    private static final int MAX_BACKOFF_SHIFT = 3;

    private final DeliveryPolicy policy;
    private final Listener<A> listener;
    private final Map<String, EngineWatch<A>> engines = new HashMap<>();
    private final TimerQueue<LongConsumer> timers = new TimerQueue<>();
    private long questionsAsked;
    private long unconfirmedCount;

    /**
     * Told of what the monitor finds, during its own methods.
     *
     * @param <A> names an attempt
     */
    public interface Listener<A> {
        /**
         * Asks an engine for a sign of life. Ended by {@link DeliveryMonitor#questionEnded}, in a
         * later turn.
         */
        void ask(String engine);

        /** Something shows that an attempt's engine has it. */
        void delivered(A attempt);

        /** Something should have shown by now that an attempt's engine has it, and nothing does. */
        void unconfirmed(A attempt);
    }

    /**
     * Creates a monitor that watches nothing.
     *
     * @param policy how long attempts may go unconfirmed
     * @param listener told of what is found
     */
    public DeliveryMonitor(DeliveryPolicy policy, Listener<A> listener) {
        this.policy = policy;
        this.listener = listener;
    }

    // Attempts

    /**
     * An attempt's last byte was written.
     *
     * @param attempt names it
     * @param delivery its state
     * @param heldSince since when something is held for its request; now where nothing is
     * @param now the time
     */
    public void written(A attempt, AttemptDelivery delivery, long heldSince, long now) {
        delivery.written(now);
        watch(delivery.engine()).attempts.put(attempt, delivery);
        long askAt = Math.max(now, heldSince + policy.askAfterMicros());
        long confirmBy =
                Math.max(now + policy.attemptMicros(), heldSince + policy.confirmAfterMicros());
        timers.schedule(askAt, time -> askFor(attempt, delivery, confirmBy, time - askAt, time));
    }

    /** An attempt's engine answered it. */
    public void answered(A attempt, AttemptDelivery delivery) {
        delivery.delivered(Evidence.ANSWERED);
        ended(attempt, delivery);
    }

    /** An attempt ended, so nothing waits for its delivery any more. */
    public void ended(A attempt, AttemptDelivery delivery) {
        EngineWatch<A> watch = engines.get(delivery.engine());
        if (watch != null) {
            watch.attempts.remove(attempt);
            removeIfUnneeded(delivery.engine(), watch);
        }
    }

    private void askFor(A attempt, AttemptDelivery delivery, long confirmBy, long late, long now) {
        if (isWatched(attempt, delivery)) {
            ask(delivery.engine(), engines.get(delivery.engine()), now);
            long checkAt = Math.max(confirmBy, now + policy.answerMicros());
            timers.schedule(
                    checkAt,
                    time -> check(attempt, delivery, Math.max(late, time - checkAt), time));
        }
    }

    private void check(A attempt, AttemptDelivery delivery, long late, long now) {
        if (!isWatched(attempt, delivery)) {
            return;
        }
        if (late >= LATE_MICROS) {
            long delay = Math.min(TURNS_OF_A_QUESTION * late, policy.attemptMicros());
            timers.schedule(now + delay, time -> check(attempt, delivery, 0, time));
        } else if (isSilent(delivery, now)) {
            unconfirmedCount++;
            delivery.reportUnconfirmed();
            listener.unconfirmed(attempt);
        } else {
            // It could not be asked, or only a moment ago.
            timers.schedule(
                    now + policy.attemptMicros(), time -> check(attempt, delivery, 0, time));
        }
    }

    /** {@return whether an engine owes an answer, or has said nothing for a very long time} */
    private boolean isSilent(AttemptDelivery delivery, long now) {
        return engines.get(delivery.engine()).isSilentSince(now - policy.answerMicros())
                || now - delivery.writtenAt() >= policy.limitMicros();
    }

    private boolean isWatched(A attempt, AttemptDelivery delivery) {
        EngineWatch<A> watch = engines.get(delivery.engine());
        return watch != null && watch.attempts.get(attempt) == delivery;
    }

    // Engines

    /**
     * Waits for an engine's next sign of life, as an attempt that was given up may reach it, or end
     * there, just before. Asks for it where none comes by itself; at once where nothing ever showed
     * that the attempt had arrived.
     */
    public void awaitEngine(String engine, AttemptDelivery givenUp, long now) {
        EngineWatch<A> watch = watch(engine);
        watch.await(now);
        if (givenUp.isDelivered()) {
            timers.schedule(now + policy.askAfterMicros(), time -> askIfAwaited(engine, time));
        } else {
            ask(engine, watch, now);
        }
    }

    private void askIfAwaited(String engine, long now) {
        EngineWatch<A> watch = engines.get(engine);
        if (watch != null && watch.isAwaited()) {
            ask(engine, watch, now);
        }
    }

    /** An engine left the endpoint list: what was on its way there will not arrive. */
    public void engineRemoved(String engine) {
        EngineWatch<A> watch = engines.get(engine);
        if (watch != null) {
            watch.awaitNoLonger();
            removeIfUnneeded(engine, watch);
        }
    }

    /**
     * An engine began to answer a call.
     *
     * @param engine which
     * @param writtenAt when the call was written to it
     * @return whether that is the sign of life that is waited for whatever becomes of attempts
     */
    public boolean callAnswered(String engine, long writtenAt) {
        EngineWatch<A> watch = engines.get(engine);
        if (watch == null) {
            return false;
        }
        confirmAttempts(watch, writtenAt);
        boolean awaited = watch.heard(writtenAt);
        removeIfUnneeded(engine, watch);
        return awaited;
    }

    private void confirmAttempts(EngineWatch<A> watch, long ranAfter) {
        Iterator<Map.Entry<A, AttemptDelivery>> entries = watch.attempts.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<A, AttemptDelivery> entry = entries.next();
            if (ranAfter > entry.getValue().writtenAt()) {
                entry.getValue().delivered(Evidence.ENGINE_RESPONSIVE);
                entries.remove();
                listener.delivered(entry.getKey());
            }
        }
    }

    /** {@return a copy of the names of engines of which a sign of life is waited for} */
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

    // Questions

    private void ask(String engine, EngineWatch<A> watch, long now) {
        if (watch.openQuestion(now)) {
            questionsAsked++;
            listener.ask(engine);
        }
    }

    /** A question could not be asked at all, so an engine's silence says nothing. */
    public void questionNotAsked(String engine, long now) {
        EngineWatch<A> watch = engines.get(engine);
        if (watch != null && watch.isQuestionOpen()) {
            watch.questionNotAsked();
            questionsAsked--;
            questionEnded(engine, now);
        }
    }

    /** A question ended, answered or not; it is asked again where that still matters. */
    public void questionEnded(String engine, long now) {
        EngineWatch<A> watch = engines.get(engine);
        if (watch == null) {
            return;
        }
        watch.closeQuestion();
        if (watch.isNeeded()) {
            int shift = Math.min(watch.questionsUnanswered(), MAX_BACKOFF_SHIFT);
            // From when it was asked: where the answer was waited for in vain, there is no gap in
            // which the engine could come back unnoticed.
            long pace = policy.askAfterMicros() << shift;
            long again = Math.max(now, watch.questionAskedAt() + pace);
            timers.schedule(again, time -> askAgain(engine, time));
        }
        removeIfUnneeded(engine, watch);
    }

    private void askAgain(String engine, long now) {
        EngineWatch<A> watch = engines.get(engine);
        if (watch != null && watch.isNeeded()) {
            ask(engine, watch, now);
        }
    }

    // Time

    /** Asks and reports what is due. */
    public void advance(long now) {
        for (LongConsumer due = timers.pollDue(now); due != null; due = timers.pollDue(now)) {
            due.accept(now);
        }
    }

    /** {@return when {@link #advance} is next needed; Long.MAX_VALUE for never} */
    public long nextDueMicros() {
        return timers.nextDueMicros();
    }

    // For the metrics line

    /** {@return questions asked since the start} */
    public long questionsAsked() {
        return questionsAsked;
    }

    /** {@return attempts reported as unconfirmed since the start} */
    public long unconfirmedCount() {
        return unconfirmedCount;
    }

    /** {@return attempts that nothing confirms yet} */
    public int watchedCount() {
        return engines.values().stream().mapToInt(watch -> watch.attempts.size()).sum();
    }
}
