package sorrelhoist.lab.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;

/**
 * The rules of a fleet, as routers are told them and as the oracle checks them.
 *
 * @param reservationLimitMillis in which what is held for a request has to be taken or released
 * @param drainGraceMillis after which nothing new goes to a worker that drains
 * @param idempotencyWindowMillis in which workers drop repeats of a keyed request
 * @param warmUpMillis for which a worker that started is cold
 * @param coldCapacityShare the part of its work that a worker can do when it starts
 * @param overloadMultiple how much of that part pushes it over
 * @param overloadMillis the time over which that is counted
 * @param idleTimeoutMillis after which a worker closes a connection that rests
 * @param connectTimeoutMillis until a connection has to stand
 * @param longestDeadlineMillis the longest that a client waits
 */
public record FleetRules(
        long reservationLimitMillis,
        long drainGraceMillis,
        long idempotencyWindowMillis,
        long warmUpMillis,
        double coldCapacityShare,
        double overloadMultiple,
        long overloadMillis,
        long idleTimeoutMillis,
        long connectTimeoutMillis,
        long longestDeadlineMillis) {
    /** The rules that the soak plays unless a test wants others. */
    public static final FleetRules ORDINARY =
            new FleetRules(500, 1000, 600, 6000, 0.3, 3, 3000, 5000, 250, 4000);

    /** One run in so many has short deadlines. */
    private static final int SHORT_DEADLINES_ONE_IN = 4;

    private static final long SHORT_DEADLINE_MILLIS = 1000;

    /** {@return the rules that a seed plays} */
    static FleetRules ofSeed(long seed) {
        return Math.floorMod(seed, SHORT_DEADLINES_ONE_IN) == 0
                ? ORDINARY.withLongestDeadline(SHORT_DEADLINE_MILLIS)
                : ORDINARY;
    }

    private FleetRules withLongestDeadline(long millis) {
        return new FleetRules(
                reservationLimitMillis,
                drainGraceMillis,
                idempotencyWindowMillis,
                warmUpMillis,
                coldCapacityShare,
                overloadMultiple,
                overloadMillis,
                idleTimeoutMillis,
                connectTimeoutMillis,
                millis);
    }

    /** What may happen to a request of a class twice. */
    public enum RequestClass {
        SAFE("read_like"),
        KEYED("idempotency_key"),
        UNSAFE("non_idempotent");

        private final String semantics;

        RequestClass(String semantics) {
            this.semantics = semantics;
        }

        String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    ObjectNode json(int self, int routers) {
        ObjectNode json =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("balancers", routers)
                        .put("me", self)
                        .put("zone", 0);
        json.putArray("dcs").add("z");
        json.putArray("kinds").add("read").add("write");
        json.putObject("feedback").put("how", "silent");
        json.putObject("limits")
                .put("send-cap", 5)
                .put("cancel", true)
                .put("retry-after", true)
                .put("max-retry-after-us", 2_000_000)
                .put("may-tell", true)
                .put("dial-timeout-us", 1000 * connectTimeoutMillis)
                .put("conn-idle-us", 1000 * idleTimeoutMillis);
        addClasses(json.putArray("request-classes"));
        json.putObject("rules")
                .put("fall-us", 1000 * overloadMillis)
                .put("fall-multiple", overloadMultiple)
                .put("cold-us", 1000 * warmUpMillis)
                .put("cold-from", coldCapacityShare);
        json.putObject("deductions").put("probe", 0.003).put("peer", 0.003);
        ObjectNode specifics = json.putObject("specifics");
        specifics.putArray("memory-tokens").add(200_000).add(200_000);
        specifics.putArray("stage-of-kind").add("read").add("write");
        specifics.put("release-within-us", 1000 * reservationLimitMillis).put("resume", false);
        return json;
    }

    private void addClasses(ArrayNode classes) {
        for (RequestClass c : RequestClass.values()) {
            classes.addObject()
                    .put("name", c.label())
                    .put("aim-us", 1000 * longestDeadlineMillis * 3 / 8)
                    .put("deadline-us", 1000 * longestDeadlineMillis)
                    .put("semantics", c.semantics)
                    .put("worth", 1)
                    .put("key-scope", "all")
                    .put("repeat-window-us", 1000 * idempotencyWindowMillis);
        }
    }
}
