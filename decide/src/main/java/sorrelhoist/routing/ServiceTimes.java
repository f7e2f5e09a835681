package sorrelhoist.routing;

import java.util.ArrayList;
import java.util.List;

/** This router's learned times of prefills, first tokens and whole answers. */
final class ServiceTimes {
    /** Limit of a sample as a multiple of the expected time, while requests are sparse. */
    private static final double MAX_SAMPLE_RATIO = 3;

    private final ArrivalRate arrivals;

    // By kind of server: time of a prefill, and time between the ends of two consecutive prefills.
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

    /**
     * {@return the time by which a prefill delays the prefills queued behind it, in microseconds}
     */
    double prefillIntervalMicros(Endpoint endpoint, long tokens) {
        return prefillIntervals.get(endpoint.kind).micros(tokens);
    }

    /** {@return the expected time from the send of a decode to its first token, in microseconds} */
    double firstTokenMicros(long promptTokens) {
        return firstTokens.micros(promptTokens);
    }

    /** Learns from the time of a prefill. Returns the ratio of that time to the expected time. */
    double learnPrefill(Endpoint endpoint, long tokens, long tookMicros) {
        return learn(prefills.get(endpoint.kind), tokens, tookMicros);
    }

    void learnPrefillInterval(Endpoint endpoint, long tokens, long micros) {
        prefillIntervals.get(endpoint.kind).learn(tokens, micros);
    }

    /**
     * Learns from the time to a first token. Returns the ratio of that time to the expected time.
     */
    double learnFirstToken(long promptTokens, long tookMicros) {
        return learn(firstTokens, promptTokens, tookMicros);
    }

    /**
     * Learns from the time of a complete answer. Returns the ratio of that time to the expected
     * time.
     */
    double learnAnswer(long maxTokens, long tookMicros) {
        return learn(answers, maxTokens, tookMicros);
    }

    /**
     * Adds a sample to a regression and returns the ratio of the sample to the expected time.
     *
     * <p>While requests are dense, a regression replaces its samples fast enough to reflect
     * congestion. While they are sparse, it learns the service time alone: samples are clipped, and
     * congestion is tracked as a queueing delay, which decays within seconds instead of over the
     * next fifty requests.
     */
    private double learn(DecayedRegression regression, long tokens, long tookMicros) {
        double expected = regression.micros(tokens);
        double sample =
                arrivals.isDense() ? tookMicros : Math.min(tookMicros, MAX_SAMPLE_RATIO * expected);
        regression.learn(tokens, sample);
        return tookMicros / expected;
    }

    /** {@return the regressions of prefill times, by kind of server} */
    List<DecayedRegression> prefills() {
        return prefills;
    }

    DecayedRegression firstTokens() {
        return firstTokens;
    }
}
