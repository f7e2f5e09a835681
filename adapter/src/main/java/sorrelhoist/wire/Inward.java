package sorrelhoist.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sorrelhoist.Routing.*;

/** Turns wire messages into settings and events. */
public final class Inward {
    private static final long MAX_ID = 1L << 52;
    private static final Map<String, Role> ROLES =
            Map.of("read", Role.READ, "write", Role.WRITE, "both", Role.BOTH);
    private static final Map<String, Repeat> REPEATS =
            Map.of(
                    "read_like",
                    Repeat.SAFE,
                    "idempotency_key",
                    Repeat.KEYED,
                    "non_idempotent",
                    Repeat.UNSAFE);
    private static final Map<String, Scope> SCOPES =
            Map.of("all", Scope.ALL, "zone", Scope.ZONE, "cell", Scope.CELL);
    private static final Map<String, Reports> REPORTS =
            Map.of(
                    "piggyback",
                    Reports.IN_OUTCOMES,
                    "pull",
                    Reports.IN_PROBES,
                    "silent",
                    Reports.NONE);
    private static final Map<String, ServerState> STATES =
            Map.of(
                    "in_service",
                    ServerState.SERVING,
                    "terminating",
                    ServerState.DRAINING,
                    "terminated",
                    ServerState.GONE);
    private static final Map<String, ListForm> FORMS =
            Map.of(
                    "update",
                    ListForm.UPDATE,
                    "replace",
                    ListForm.COMPLETE,
                    "restored",
                    ListForm.RESTORED,
                    "unavailable",
                    ListForm.UNAVAILABLE);
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

    private Inward() {}

    /**
     * Reads a router's settings; the platform's configuration holds the same object under the same
     * names.
     */
    public static Settings settings(Fields boot) throws WireException {
        Fields specifics = boot.inner("specifics");
        Fields limits = boot.inner("limits");
        Fields rules = boot.inner("rules");
        return new Settings(
                (int) boot.whole("balancers", 1),
                (int) boot.whole("me", 0),
                (int) boot.whole("zone", 0, 0),
                "ask".equals(boot.text("discovery", "push")),
                boot.number("over-share-worth", 1),
                word(boot.inner("feedback"), "how", REPORTS),
                classes(boot, specifics),
                tenants(boot),
                kinds(specifics),
                new Limits(
                        (int) limits.whole("send-cap", 1),
                        limits.flag("cancel"),
                        limits.flag("probing"),
                        limits.flag("retry-after"),
                        limits.whole("max-retry-after-us", 0, 0),
                        specifics.flag("writers-read"),
                        limits.flag("may-tell"),
                        price(boot, "probe"),
                        price(boot, "peer")),
                new Rules(
                        rules.number("cold-from", 1),
                        rules.whole("cold-us", 0, 0),
                        rules.number("fall-multiple", 1),
                        rules.whole("fall-us", 1),
                        specifics.whole("release-within-us", 1)));
    }

    private static double price(Fields boot, String name) throws WireException {
        return boot.inner("deductions").number(name, 0);
    }

    /**
     * The wire's x0 and x1 are, at this family of services, a share of memory and thousands of
     * tokens.
     */
    private static Load load(Map<String, Double> values) {
        return new Load(
                values.getOrDefault("x0", Double.NaN),
                1000 * values.getOrDefault("x1", Double.NaN),
                values.getOrDefault("concurrent", Double.NaN),
                values.getOrDefault("depth", Double.NaN));
    }

    private static List<RequestClass> classes(Fields boot, Fields specifics) throws WireException {
        List<?> perThousand = specifics.list("aim-us-per-1000-prompt-tokens");
        List<RequestClass> classes = new ArrayList<>();
        for (Fields row : boot.rows("request-classes")) {
            double extra = numberAt(perThousand, classes.size(), "aim-us-per-1000-prompt-tokens");
            classes.add(
                    new RequestClass(
                            row.whole("aim-us", 1),
                            (long) extra,
                            row.number("worth", 1),
                            word(row, "semantics", REPEATS),
                            row.has("key-scope") ? word(row, "key-scope", SCOPES) : Scope.ALL,
                            row.whole("repeat-window-us", 0, 0)));
        }
        return classes;
    }

    private static List<Tenant> tenants(Fields boot) throws WireException {
        List<Tenant> tenants = new ArrayList<>();
        for (Fields row : boot.rows("orgs")) {
            tenants.add(new Tenant(row.number("allowance-per-s", 0)));
        }
        return tenants;
    }

    private static List<Kind> kinds(Fields specifics) throws WireException {
        List<?> memory = specifics.list("memory-tokens");
        List<Kind> kinds = new ArrayList<>();
        for (Object role : specifics.list("stage-of-kind")) {
            kinds.add(
                    new Kind(
                            word("stage-of-kind", role, ROLES),
                            (long) numberAt(memory, kinds.size(), "memory-tokens")));
        }
        return kinds;
    }

    private static double numberAt(List<?> values, int index, String name) throws WireException {
        Object value = index < values.size() ? values.get(index) : Double.valueOf(0);
        if (!(value instanceof Number number)) {
            throw new WireException("field \"" + name + "\" should hold numbers");
        }
        return number.doubleValue();
    }

    static Event event(String op, Fields m, Settings settings, Map<Long, Fields> lists)
            throws WireException {
        return switch (op) {
            case "members" -> members(m, settings, lists);
            case "knock" -> arrived(m, settings);
            case "booking" -> new PlaceAnswered(id(m), m.text("worker"), m.whole("kind", 1) == 1);
            case "closed-attempt" ->
                    new AttemptEnded(
                            id(m),
                            attempt(m),
                            m.text("worker"),
                            word(m, "reason", OUTCOMES),
                            m.whole("took-us", 0),
                            m.flag("ended"),
                            m.whole("info", 0, 0),
                            load(m.inner("health-info").numbers()));
            case "bell" -> new TimerFired(m.whole("label", 0));
            case "inbox" -> new PeerMessage((int) m.whole("src-peer", 0), m.text("body"));
            case "cancelled-by-client" -> new ClientGone(id(m));
            case "under-way" ->
                    new StreamStarted(id(m), attempt(m), m.text("worker"), m.whole("took-us", 0));
            case "status-back" ->
                    new ProbeAnswered(
                            m.text("worker"),
                            word(m, "reason", OUTCOMES),
                            m.whole("took-us", 0),
                            load(m.inner("health-info").numbers()));
            default -> throw new WireException("field \"op\": unknown message \"" + op + "\"");
        };
    }

    private static Event members(Fields m, Settings settings, Map<Long, Fields> lists)
            throws WireException {
        ListForm form = word(m, "form", FORMS);
        List<Server> servers = new ArrayList<>();
        if (form != ListForm.UNAVAILABLE) {
            long buffer = m.whole("buffer", 0);
            Fields list = lists.get(buffer);
            if (list == null) {
                throw new WireException("field \"buffer\": list " + buffer + " was never defined");
            }
            for (Fields row : list.rows("rows-in")) {
                servers.add(
                        new Server(
                                row.text("worker"),
                                (int) row.whole("failure-domain", 0, 0),
                                row.indexOrZero("kind", settings.kinds().size()),
                                (int) row.whole("group", 0, 0),
                                word(row, "state", STATES),
                                row.number("share", 1),
                                row.whole("since-us", 0, 0)));
            }
        }
        return new Members(form, servers);
    }

    private static Event arrived(Fields m, Settings settings) throws WireException {
        return new Arrived(
                id(m),
                m.index("class", settings.classes().size()),
                m.indexOrZero("project", Math.max(1, settings.tenants().size())),
                m.text("talk", null),
                m.text("prefix", null),
                m.whole("n-prompt", 0, 0),
                m.whole("n-prefix", 0, 0),
                m.whole("max-tokens", 0, 0),
                m.whole("budget-us", 0),
                m.flag("came-back"));
    }

    private static long id(Fields m) throws WireException {
        long id = m.whole("msg-id", 0);
        if (id >= MAX_ID) {
            throw new WireException("field \"msg-id\" is out of range");
        }
        return id;
    }

    private static int attempt(Fields m) throws WireException {
        return m.index("hop", Integer.MAX_VALUE);
    }

    private static <T> T word(Fields fields, String name, Map<String, T> words)
            throws WireException {
        return word(name, fields.text(name), words);
    }

    private static <T> T word(String name, Object value, Map<String, T> words)
            throws WireException {
        T meaning = value == null ? null : words.get(value);
        if (meaning == null) {
            throw new WireException("field \"" + name + "\": unknown word \"" + value + "\"");
        }
        return meaning;
    }
}
