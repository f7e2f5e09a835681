package sorrelhoist.lab.judge;

import java.util.ArrayList;
import java.util.List;

/** What clients and engines saw of one request. */
final class RequestHistory {
    private TraceEvent sent;
    private TraceEvent finalAnswer;
    private final List<TraceEvent> runs = new ArrayList<>();

    void addSent(TraceEvent event) {
        sent = event;
    }

    /** Notes a final answer; only the first counts. {@return whether it was the first} */
    boolean addFinalAnswer(TraceEvent event) {
        if (finalAnswer != null) {
            return false;
        }
        finalAnswer = event;
        return true;
    }

    /** An engine began to write the answer: from then on the request has had an effect. */
    void addRun(TraceEvent event) {
        runs.add(event);
    }

    /** {@return the event of its sending, or null} */
    TraceEvent sent() {
        return sent;
    }

    /** {@return the event of its final answer, or null} */
    TraceEvent finalAnswer() {
        return finalAnswer;
    }

    List<TraceEvent> runs() {
        return runs;
    }

    String id() {
        return sent.text("req");
    }

    boolean isAnswered() {
        return finalAnswer != null;
    }

    /** {@return whether its client cancelled it} */
    boolean isCancelled() {
        return finalAnswer != null && finalAnswer.flag("cancelled");
    }

    /** {@return the status of the final answer; NOT_SENT without one} */
    String status() {
        return finalAnswer == null ? "NOT_SENT" : finalAnswer.text("status");
    }

    /**
     * Tells whether no answer is owed: no edge could be reached, or the edge that had the request
     * was killed.
     */
    boolean isExcused(Outages outages, long wireMicros) {
        if (finalAnswer != null && finalAnswer.text("status").equals("NOT_SENT")) {
            return true;
        }
        long end = finalAnswer == null ? Long.MAX_VALUE : finalAnswer.atMicros();
        return outages.wasKilled(sent.text("edge"), sent.atMicros() - wireMicros, end);
    }
}
