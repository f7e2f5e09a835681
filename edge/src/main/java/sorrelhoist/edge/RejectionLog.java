package sorrelhoist.edge;

import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.core.explain.ReasonFormatter;
import sorrelhoist.core.request.RequestResult;
import sorrelhoist.routing.Reason;

/**
 * Logs why requests were not served: at most one line per second, with the count of each kind of
 * reason and a description of the latest reason of the most frequent kind. The limit keeps the log
 * readable during an overload. Its state belongs to the router's thread.
 */
final class RejectionLog {
    private static final Logger LOG = LoggerFactory.getLogger(RejectionLog.class);
    private static final long INTERVAL_MICROS = 1_000_000;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Map<Reason.Kind, Integer> counts = new EnumMap<>(Reason.Kind.class);
    private final Map<Reason.Kind, Reason> latest = new EnumMap<>(Reason.Kind.class);
    private long loggedAt = NEVER;

    /**
     * Counts a result if the request was rejected or failed, and logs the counts if a line is due.
     */
    void requestEnded(long now, RequestResult result) {
        if (result instanceof RequestResult.Refused || result instanceof RequestResult.Failed) {
            Reason reason = result.reason();
            counts.merge(reason.kind(), 1, Integer::sum);
            latest.put(reason.kind(), reason);
            logIfDue(now);
        }
    }

    /** Logs and resets the counts if there are any and the last line is at least a second old. */
    void logIfDue(long now) {
        if (counts.isEmpty() || now - loggedAt < INTERVAL_MICROS) {
            return;
        }
        Reason.Kind mostFrequent =
                counts.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow().getKey();
        LOG.atInfo()
                .addKeyValue("event", "not_served")
                .addKeyValue("counts", counts.toString())
                .log(
                        "not served since the last line: {}; latest most frequent reason: {}",
                        counts,
                        ReasonFormatter.describeFailure(latest.get(mostFrequent)));
        loggedAt = now;
        counts.clear();
        latest.clear();
    }
}
