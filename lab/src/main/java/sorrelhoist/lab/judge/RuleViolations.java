package sorrelhoist.lab.judge;

import java.util.ArrayList;
import java.util.List;

/** The violations found so far, as lines of text, in the order of the checks. */
final class RuleViolations {
    private final List<String> lines = new ArrayList<>();
    private long startMicros;

    /** Sets the time of the first request, from which the times of violations are told. */
    void startAt(long micros) {
        startMicros = micros;
    }

    void add(int rule, TraceEvent at, String text) {
        double seconds = (at.atMicros() - startMicros) / 1e6;
        lines.add(String.format("rule %d at %.3f s: %s", rule, seconds, text));
    }

    List<String> lines() {
        return lines;
    }
}
