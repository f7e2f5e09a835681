package sorrelhoist.routing;

import java.util.ArrayList;
import java.util.List;

/** What this router has learnt of the time that prefills, first tokens and whole answers take. */
final class ServiceTimes {
    /** Where requests are sparse, a sample teaches no more than this multiple of the expected. */
    private static final double MAX_SAMPLE_RATIO = 3;

    private final ArrivalRate arrivals;

    // By kind of server: time of a prefill, and time between the ends of two.
    private final List<DecayedRegression> prefills = new ArrayList<>();
    private final List<DecayedRegression> prefillIntervals = new ArrayList<>();
    private final DecayedRegression firstTokens = new DecayedRegression();
    private final DecayedRegression answers = new DecayedRegression();

    ServiceTimes(int serverKinds, ArrivalRate arrivals) {
        this.arrivals = arrivals;
        for (int kind = 0; kind < serverKinds; kind++) {
            prefills.add(new DecayedRegression());
            prefillIntervals.add(new DecayedRegression());
        }
    }

    /** {@return the expected time of a prefill, in microseconds} */
    double prefillMicros(Endpoint endpoint, long tokens) {
        return prefills.get(endpoint.kind).micros(tokens);
    }

    /** {@return the mean time of recent prefills at endpoints of one kind, in microseconds} */
    double meanPrefillMicros(Endpoint endpoint) {
        return prefills.get(endpoint.kind).meanMicros();
    }

    /** {@return by how much a prefill delays those queued behind it, in microseconds} */
    double prefillIntervalMicros(Endpoint endpoint, long tokens) {
        return prefillIntervals.get(endpoint.kind).micros(tokens);
    }

    /** {@return the expected time from a decode's send to its first token, in microseconds} */
    double firstTokenMicros(long promptTokens) {
        return firstTokens.micros(promptTokens);
    }

    /** Learns from a prefill; returns its time over the expected. */
    double learnPrefill(Endpoint endpoint, long tokens, long tookMicros) {
        return learn(prefills.get(endpoint.kind), tokens, tookMicros);
    }

    void learnPrefillInterval(Endpoint endpoint, long tokens, long micros) {
        prefillIntervals.get(endpoint.kind).learn(tokens, micros);
    }

    /** Learns from a first token; returns its time over the expected. */
    double learnFirstToken(long promptTokens, long tookMicros) {
        return learn(firstTokens, promptTokens, tookMicros);
    }

    /** Learns from a complete answer; returns its time over the expected. */
    double learnAnswer(long maxTokens, long tookMicros) {
        return learn(answers, maxTokens, tookMicros);
    }

    /**
     * Where requests are dense, regressions turn over soon enough to show jams. Where they are
     * sparse, they learn what servers need, clipped, and jams fade as queueing delays in seconds,
     * not with the next fifty requests.
     */
    private double learn(DecayedRegression regression, long tokens, long tookMicros) {
        double expected = regression.micros(tokens);
        double sample =
                arrivals.isDense() ? tookMicros : Math.min(tookMicros, MAX_SAMPLE_RATIO * expected);
        regression.learn(tokens, sample);
        return tookMicros / expected;
    }

    /** {@return the regressions of prefills, by kind of server} */
    List<DecayedRegression> prefills() {
        return prefills;
    }

    DecayedRegression firstTokens() {
        return firstTokens;
    }
}
