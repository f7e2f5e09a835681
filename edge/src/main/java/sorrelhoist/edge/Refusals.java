package sorrelhoist.edge;

import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.core.explain.ReasonFormatter;
import sorrelhoist.core.request.RequestResult;
import sorrelhoist.routing.Reason;

/**
 * Says in the log why requests were not served: one line a second at most, with a count for each
 * kind of reason and the last one of the commonest in words. An overload must not drown the log
 * that explains it. On the router's thread.
 */
final class Refusals {
    private static final Logger LOG = LoggerFactory.getLogger(Refusals.class);
    private static final long EVERY = 1_000_000;
    private final Map<Reason.Kind, Integer> counts = new EnumMap<>(Reason.Kind.class);
    private final Map<Reason.Kind, Reason> last = new EnumMap<>(Reason.Kind.class);
    private long saidAt = Long.MIN_VALUE / 2;

    /** Takes note of a final answer; says what is due. */
    void answered(long now, RequestResult answer) {
        if (answer instanceof RequestResult.Refused || answer instanceof RequestResult.Failed) {
            Reason why = answer.reason();
            counts.merge(why.kind(), 1, Integer::sum);
            last.put(why.kind(), why);
            say(now);
        }
    }

    /** Says what was counted, if anything was and the last line is old enough. */
    void say(long now) {
        if (!counts.isEmpty() && now - saidAt >= EVERY) {
            Reason.Kind most =
                    counts.entrySet().stream()
                            .max(Map.Entry.comparingByValue())
                            .orElseThrow()
                            .getKey();
            LOG.atInfo()
                    .addKeyValue("event", "not_served")
                    .addKeyValue("counts", counts.toString())
                    .log(
                            "not served since the last line: {}; mostly as {}",
                            counts,
                            ReasonFormatter.describeFailure(last.get(most)));
            saidAt = now;
            counts.clear();
            last.clear();
        }
    }
}
