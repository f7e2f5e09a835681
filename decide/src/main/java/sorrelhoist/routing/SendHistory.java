package sorrelhoist.routing;

import java.util.ArrayDeque;

/** This router's recent sends to one endpoint and the times of its answers. */
final class SendHistory {
    /** Window of this router's sends that make up an endpoint's load. */
    static final long LOAD_WINDOW_MICROS = 10_000_000;

    private record Send(long at, double prefillMicros) {}

    private final ArrayDeque<Send> sends = new ArrayDeque<>();
    private final ArrayDeque<Long> answers = new ArrayDeque<>();
    private double load;

    /**
     * Records one send.
     *
     * @param now time of the send, in microseconds
     * @param prefillMicros the expected prefill time; 0 for a decode
     */
    void recordSend(long now, double prefillMicros) {
        load = refreshLoad(now) + prefillMicros;
        sends.add(new Send(now, prefillMicros));
    }

    /** Removes the sends that are older than the window and returns the load. */
    double refreshLoad(long now) {
        while (!sends.isEmpty() && sends.peek().at() < now - LOAD_WINDOW_MICROS) {
            load -= sends.poll().prefillMicros();
        }
        if (sends.isEmpty()) {
            load = 0;
        }
        return load;
    }

    /**
     * {@return the load as of the last refresh: the prefill time sent within the window, in
     * microseconds}
     */
    double load() {
        return load;
    }

    /** {@return the number of recorded sends} */
    int size() {
        return sends.size();
    }

    /** {@return the number of recorded sends later than a time} */
    long sentAfter(long time) {
        return sends.stream().filter(send -> send.at > time).count();
    }

    void recordAnswer(long now) {
        answers.add(now);
    }

    /** Removes the answers before a time and returns the number of those left. */
    long answersSince(long time) {
        while (!answers.isEmpty() && answers.peek() < time) {
            answers.poll();
        }
        return answers.size();
    }
}
