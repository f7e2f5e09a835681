package sorrelhoist.adapter;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sorrelhoist.routing.Routing.*;

/** Turns wire messages into settings and events. */
public final class SettingsDecoder {
    private static final long MAX_ID = 1L << 52;
    private static final Map<String, Role> ROLES =
            Map.of("read", Role.READ, "write", Role.WRITE, "both", Role.BOTH);
    private static final Map<String, Idempotency> REPEATS =
            Map.of(
                    "read_like",
                    Idempotency.SAFE,
                    "idempotency_key",
                    Idempotency.KEYED,
                    "non_idempotent",
                    Idempotency.UNSAFE);
    private static final Map<String, IdempotencyScope> SCOPES =
            Map.of(
                    "all",
                    IdempotencyScope.ALL,
                    "zone",
                    IdempotencyScope.ZONE,
                    "cell",
                    IdempotencyScope.CELL);
    private static final Map<String, LoadReportMode> REPORTS =
            Map.of(
                    "piggyback",
                    LoadReportMode.IN_OUTCOMES,
                    "pull",
                    LoadReportMode.IN_PROBES,
                    "silent",
                    LoadReportMode.NONE);
    private static final Map<String, ServerState> STATES =
            Map.of(
                    "in_service",
                    ServerState.SERVING,
                    "terminating",
                    ServerState.DRAINING,
                    "terminated",
                    ServerState.GONE);
    private static final Map<String, ListUpdateKind> FORMS =
            Map.of(
                    "update",
                    ListUpdateKind.UPDATE,
                    "replace",
                    ListUpdateKind.COMPLETE,
                    "restored",
                    ListUpdateKind.RESTORED,
                    "unavailable",
                    ListUpdateKind.UNAVAILABLE);
    private static final Map<String, Outcome> OUTCOMES =
            Map.of(
                    "done",
                    Outcome.DONE,
                    "read",
                    Outcome.READ,
                    "err",
                    Outcome.ERROR,
                    "busy",
                    Outcome.FULL,
                    "etimedout",
                    Outcome.TIMED_OUT,
                    "econnrefused",
                    Outcome.CONNECT_FAILED,
                    "econnreset",
                    Outcome.RESET,
                    "ecanceled",
                    Outcome.CANCELLED,
                    "skipped",
                    Outcome.SKIPPED);

    private SettingsDecoder() {}

    /**
     * Reads a router's settings; the platform's configuration holds the same object under the same
     * names.
     */
    public static RoutingSettings decode(JsonObject boot) throws InvalidMessageException {
        JsonObject specifics = boot.getObject("specifics");
        JsonObject limits = boot.getObject("limits");
        JsonObject rules = boot.getObject("rules");
        return new RoutingSettings(
                (int) boot.getLong("balancers", 1),
                (int) boot.getLong("me", 0),
                (int) boot.getLong("zone", 0, 0),
                "ask".equals(boot.getString("discovery", "push")),
                boot.getDouble("over-share-worth", 1),
                word(boot.getObject("feedback"), "how", REPORTS),
                classes(boot, specifics),
                tenants(boot),
                kinds(specifics),
                new Capabilities(
                        (int) limits.getLong("send-cap", 1),
                        limits.getBoolean("cancel"),
                        limits.getBoolean("probing"),
                        limits.getBoolean("retry-after"),
                        limits.getLong("max-retry-after-us", 0, 0),
                        specifics.getBoolean("writers-read"),
                        limits.getBoolean("may-tell"),
                        price(boot, "probe"),
                        price(boot, "peer")),
                new ServerLimits(
                        rules.getDouble("cold-from", 1),
                        rules.getLong("cold-us", 0, 0),
                        rules.getDouble("fall-multiple", 1),
                        rules.getLong("fall-us", 1),
                        specifics.getLong("release-within-us", 1)));
    }

    private static double price(JsonObject boot, String name) throws InvalidMessageException {
        return boot.getObject("deductions").getDouble(name, 0);
    }

    /**
     * The wire's x0 and x1 are, at this family of services, a share of memory and thousands of
     * tokens.
     */
    private static ServerLoad load(Map<String, Double> values) {
        return new ServerLoad(
                values.getOrDefault("x0", Double.NaN),
                1000 * values.getOrDefault("x1", Double.NaN),
                values.getOrDefault("concurrent", Double.NaN),
                values.getOrDefault("depth", Double.NaN));
    }

    private static List<RequestClass> classes(JsonObject boot, JsonObject specifics)
            throws InvalidMessageException {
        List<?> perThousand = specifics.getList("aim-us-per-1000-prompt-tokens");
        List<RequestClass> classes = new ArrayList<>();
        for (JsonObject row : boot.getObjects("request-classes")) {
            double extra = numberAt(perThousand, classes.size(), "aim-us-per-1000-prompt-tokens");
            classes.add(
                    new RequestClass(
                            row.getLong("aim-us", 1),
                            (long) extra,
                            row.getDouble("worth", 1),
                            word(row, "semantics", REPEATS),
                            row.contains("key-scope")
                                    ? word(row, "key-scope", SCOPES)
                                    : IdempotencyScope.ALL,
                            row.getLong("repeat-window-us", 0, 0)));
        }
        return classes;
    }

    private static List<Tenant> tenants(JsonObject boot) throws InvalidMessageException {
        List<Tenant> tenants = new ArrayList<>();
        for (JsonObject row : boot.getObjects("orgs")) {
            tenants.add(new Tenant(row.getDouble("allowance-per-s", 0)));
        }
        return tenants;
    }

    private static List<ServerKind> kinds(JsonObject specifics) throws InvalidMessageException {
        List<?> memory = specifics.getList("memory-tokens");
        List<ServerKind> kinds = new ArrayList<>();
        for (Object role : specifics.getList("stage-of-kind")) {
            kinds.add(
                    new ServerKind(
                            word("stage-of-kind", role, ROLES),
                            (long) numberAt(memory, kinds.size(), "memory-tokens")));
        }
        return kinds;
    }

    private static double numberAt(List<?> values, int index, String name)
            throws InvalidMessageException {
        Object value = index < values.size() ? values.get(index) : Double.valueOf(0);
        if (!(value instanceof Number number)) {
            throw new InvalidMessageException("field \"" + name + "\" should hold numbers");
        }
        return number.doubleValue();
    }

    static Event event(
            String op, JsonObject m, RoutingSettings settings, Map<Long, JsonObject> lists)
            throws InvalidMessageException {
        return switch (op) {
            case "members" -> members(m, settings, lists);
            case "knock" -> arrived(m, settings);
            case "booking" ->
                    new PlaceAnswered(id(m), m.getString("worker"), m.getLong("kind", 1) == 1);
            case "closed-attempt" ->
                    new AttemptEnded(
                            id(m),
                            attempt(m),
                            m.getString("worker"),
                            word(m, "reason", OUTCOMES),
                            m.getLong("took-us", 0),
                            m.getBoolean("ended"),
                            m.getLong("info", 0, 0),
                            load(m.getObject("health-info").toDoubles()));
            case "bell" -> new TimerFired(m.getLong("label", 0));
            case "inbox" -> new PeerMessage((int) m.getLong("src-peer", 0), m.getString("body"));
            case "cancelled-by-client" -> new ClientGone(id(m));
            case "under-way" ->
                    new StreamStarted(
                            id(m), attempt(m), m.getString("worker"), m.getLong("took-us", 0));
            case "status-back" ->
                    new ProbeAnswered(
                            m.getString("worker"),
                            word(m, "reason", OUTCOMES),
                            m.getLong("took-us", 0),
                            load(m.getObject("health-info").toDoubles()));
            default ->
                    throw new InvalidMessageException(
                            "field \"op\": unknown message \"" + op + "\"");
        };
    }

    private static Event members(
            JsonObject m, RoutingSettings settings, Map<Long, JsonObject> lists)
            throws InvalidMessageException {
        ListUpdateKind form = word(m, "form", FORMS);
        List<Server> servers = new ArrayList<>();
        if (form != ListUpdateKind.UNAVAILABLE) {
            long buffer = m.getLong("buffer", 0);
            JsonObject list = lists.get(buffer);
            if (list == null) {
                throw new InvalidMessageException(
                        "field \"buffer\": list " + buffer + " was never defined");
            }
            for (JsonObject row : list.getObjects("rows-in")) {
                servers.add(
                        new Server(
                                row.getString("worker"),
                                (int) row.getLong("failure-domain", 0, 0),
                                row.getIndexOrZero("kind", settings.serverKinds().size()),
                                (int) row.getLong("group", 0, 0),
                                word(row, "state", STATES),
                                row.getDouble("share", 1),
                                row.getLong("since-us", 0, 0)));
            }
        }
        return new Members(form, servers);
    }

    private static Event arrived(JsonObject m, RoutingSettings settings)
            throws InvalidMessageException {
        return new Arrived(
                id(m),
                m.getIndex("class", settings.classes().size()),
                m.getIndexOrZero("project", Math.max(1, settings.tenants().size())),
                m.getString("talk", null),
                m.getString("prefix", null),
                m.getLong("n-prompt", 0, 0),
                m.getLong("n-prefix", 0, 0),
                m.getLong("max-tokens", 0, 0),
                m.getLong("budget-us", 0),
                m.getBoolean("came-back"));
    }

    private static long id(JsonObject m) throws InvalidMessageException {
        long id = m.getLong("msg-id", 0);
        if (id >= MAX_ID) {
            throw new InvalidMessageException("field \"msg-id\" is out of range");
        }
        return id;
    }

    private static int attempt(JsonObject m) throws InvalidMessageException {
        return m.getIndex("hop", Integer.MAX_VALUE);
    }

    private static <T> T word(JsonObject fields, String name, Map<String, T> words)
            throws InvalidMessageException {
        return word(name, fields.getString(name), words);
    }

    private static <T> T word(String name, Object value, Map<String, T> words)
            throws InvalidMessageException {
        T meaning = value == null ? null : words.get(value);
        if (meaning == null) {
            throw new InvalidMessageException(
                    "field \"" + name + "\": unknown word \"" + value + "\"");
        }
        return meaning;
    }
}
