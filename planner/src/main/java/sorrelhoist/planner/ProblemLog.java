package sorrelhoist.planner;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs a lasting problem once, until it changes or is over. */
final class ProblemLog {
    private static final Logger LOG = LoggerFactory.getLogger(ProblemLog.class);
    private static final String NONE = "";

    private String current = NONE;

    /** Logs a problem unless it is the one that was logged last. */
    void report(String event, String problem) {
        if (!problem.equals(current)) {
            current = problem;
            LOG.atWarn().addKeyValue("event", event).log(problem);
        }
    }

    /** The problem is over: the next one is logged, also if it is the same again. */
    void clear() {
        current = NONE;
    }
}
