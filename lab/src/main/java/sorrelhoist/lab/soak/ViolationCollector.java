package sorrelhoist.lab.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects violations, except those at a time when the harness itself was lagging. */
final class ViolationCollector {
    private final FleetTimeline timeline;
    private final List<Violation> violations = new ArrayList<>();
    private int excused;

    ViolationCollector(FleetTimeline timeline) {
        this.timeline = timeline;
    }

    /**
     * Adds a violation, or excuses it.
     *
     * @param invariant what was violated
     * @param subject the request's id, or a process's name
     * @param from the beginning of what proves it, nanoseconds of the monotonic clock
     * @param at when it was violated, nanoseconds of the monotonic clock
     * @param detail what was seen
     */
    void add(Invariant invariant, String subject, long from, long at, String detail) {
        long margin = Tolerances.ROUTER_PAUSE;
        if (timeline.wasHarnessLagging(from - margin, at + margin)) {
            excused++;
        } else {
            double seconds = timeline.secondsSinceStart(at);
            violations.add(new Violation(invariant, subject, seconds, detail));
        }
    }

    /** Adds a violation that no timestamp proves. */
    void addTimeless(Invariant invariant, String subject, String detail) {
        violations.add(new Violation(invariant, subject, 0, detail));
    }

    int excused() {
        return excused;
    }

    /** {@return the violations in order of time} */
    List<Violation> sorted() {
        violations.sort(Comparator.comparingDouble(Violation::atSeconds));
        return violations;
    }
}
