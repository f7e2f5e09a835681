package sorrelhoist.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** This router's attempts that are in flight at one endpoint. */
final class InFlightAttempts {
    // Those without an answer yet, by request; the oldest send first.
    private final Map<Long, Attempt> unanswered = new LinkedHashMap<>();
    private long latestAnsweredSend = Long.MIN_VALUE;
    private int count;
    private long tokens;

    void started(long requestId, Attempt attempt) {
        count++;
        tokens += attempt.tokensInFlight;
        unanswered.put(requestId, attempt);
    }

    /** The first token came: the attempt is in flight still, but nothing waits for it. */
    void answered(long requestId) {
        unanswered.remove(requestId);
    }

    void ended(long requestId, Attempt attempt) {
        count--;
        unanswered.remove(requestId);
        tokens -= attempt.tokensInFlight;
    }

    /** An answer proves that what was sent before it and is still silent was lost, not queued. */
    void provenBy(Attempt attempt) {
        latestAnsweredSend = Math.max(latestAnsweredSend, attempt.sentAt);
    }

    /** {@return whether no later send was answered before this one} */
    boolean isCurrent(Attempt attempt) {
        return attempt.sentAt > latestAnsweredSend;
    }

    int count() {
        return count;
    }

    /** {@return tokens that the decodes in flight may hold} */
    long tokens() {
        return tokens;
    }

    /** Adds the cost of each attempt that is still awaited to a sum, the oldest first. */
    double addAwaited(double sum, ToDoubleFunction<Attempt> cost) {
        double total = sum;
        for (Attempt attempt : unanswered.values()) {
            total += isCurrent(attempt) ? cost.applyAsDouble(attempt) : 0;
        }
        return total;
    }

    /** {@return service time of the attempts that are still awaited, in microseconds} */
    double awaitedMicros() {
        return addAwaited(0, attempt -> attempt.estimate.serviceMicros());
    }

    /** {@return by how many microseconds the oldest awaited attempt is late} */
    double overdueMicros(long now) {
        return unanswered.values().stream()
                .filter(this::isCurrent)
                .findFirst()
                .map(
                        attempt ->
                                Math.max(
                                        0, now - attempt.sentAt - attempt.estimate.serviceMicros()))
                .orElse(0.0);
    }
}
