package sorrelhoist.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * This router's attempts in flight at one endpoint. An attempt is awaited until it is answered or
 * ends, or until an attempt that was sent later is answered.
 */
final class InFlightAttempts {
    // Attempts without an answer yet, by request id, in the order of their sends.
    private final Map<Long, Attempt> unanswered = new LinkedHashMap<>();
    private long latestAnsweredSend = Long.MIN_VALUE;
    private int count;
    private long tokens;

    void started(long requestId, Attempt attempt) {
        count++;
        tokens += attempt.tokensInFlight;
        unanswered.put(requestId, attempt);
    }

    /**
     * Records that the first token arrived: the attempt is still in flight, but no longer awaited.
     */
    void answered(long requestId) {
        unanswered.remove(requestId);
    }

    void ended(long requestId, Attempt attempt) {
        count--;
        unanswered.remove(requestId);
        tokens -= attempt.tokensInFlight;
    }

    /**
     * Records an answered attempt. Attempts that were sent earlier and are still unanswered count
     * as lost, not queued.
     */
    void recordAnswered(Attempt attempt) {
        latestAnsweredSend = Math.max(latestAnsweredSend, attempt.sentAt);
    }

    /** {@return whether the attempt was sent later than every answered attempt} */
    boolean isNewerThanAnswered(Attempt attempt) {
        return attempt.sentAt > latestAnsweredSend;
    }

    int count() {
        return count;
    }

    /** {@return the maximum number of tokens that the decodes in flight may hold} */
    long tokens() {
        return tokens;
    }

    /** Adds the costs of all awaited attempts to a sum, in the order of their sends. */
    double addAwaited(double sum, ToDoubleFunction<Attempt> cost) {
        double total = sum;
        for (Attempt attempt : unanswered.values()) {
            total += isNewerThanAnswered(attempt) ? cost.applyAsDouble(attempt) : 0;
        }
        return total;
    }

    /** {@return the total service time of the awaited attempts, in microseconds} */
    double awaitedMicros() {
        return addAwaited(0, attempt -> attempt.estimate.serviceMicros());
    }

    /**
     * {@return by how much the oldest awaited attempt is overdue, in microseconds; 0 if none is
     * overdue}
     */
    double overdueMicros(long now) {
        return unanswered.values().stream()
                .filter(this::isNewerThanAnswered)
                .findFirst()
                .map(
                        attempt ->
                                Math.max(
                                        0, now - attempt.sentAt - attempt.estimate.serviceMicros()))
                .orElse(0.0);
    }
}
