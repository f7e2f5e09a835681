package sorrelhoist.planner;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs a lasting problem once, and again only after it has changed or was resolved. */
final class ProblemLog {
    private static final Logger LOG = LoggerFactory.getLogger(ProblemLog.class);
    private static final String NONE = "";

    private String current = NONE;

    /** Logs a problem unless it equals the current one. */
    void report(String event, String problem) {
        if (!problem.equals(current)) {
            current = problem;
            LOG.atWarn().addKeyValue("event", event).log(problem);
        }
    }

    /** Marks the problem as resolved. The next problem is logged even if it is the same. */
    void clear() {
        current = NONE;
    }
}
