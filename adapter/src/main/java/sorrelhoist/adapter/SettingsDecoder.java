package sorrelhoist.adapter;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sorrelhoist.adapter.SimulatorProtocol.SettingsField;
import sorrelhoist.routing.RoutingSettings;
import sorrelhoist.routing.RoutingSettings.Capabilities;
import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.IdempotencyScope;
import sorrelhoist.routing.RoutingSettings.LoadReportMode;
import sorrelhoist.routing.RoutingSettings.RequestClass;
import sorrelhoist.routing.RoutingSettings.Role;
import sorrelhoist.routing.RoutingSettings.ServerKind;
import sorrelhoist.routing.RoutingSettings.ServerLimits;
import sorrelhoist.routing.RoutingSettings.Tenant;

/** Decodes a router's settings from their JSON form. */
public final class SettingsDecoder {
    private static final String DISCOVERY_ON_REQUEST = "ask";
    private static final String DISCOVERY_PUSHED = "push";
    private static final WordTable<Role> ROLES =
            new WordTable<>(Map.of("read", Role.READ, "write", Role.WRITE, "both", Role.BOTH));
    private static final WordTable<Idempotency> IDEMPOTENCY =
            new WordTable<>(
                    Map.of(
                            "read_like", Idempotency.SAFE,
                            "idempotency_key", Idempotency.KEYED,
                            "non_idempotent", Idempotency.UNSAFE));
    private static final WordTable<IdempotencyScope> IDEMPOTENCY_SCOPES =
            new WordTable<>(
                    Map.of(
                            "all", IdempotencyScope.ALL,
                            "zone", IdempotencyScope.ZONE,
                            "cell", IdempotencyScope.CELL));
    private static final WordTable<LoadReportMode> LOAD_REPORT_MODES =
            new WordTable<>(
                    Map.of(
                            "piggyback", LoadReportMode.IN_OUTCOMES,
                            "pull", LoadReportMode.IN_PROBES,
                            "silent", LoadReportMode.NONE));

    private SettingsDecoder() {}

    /**
     * Decodes a router's settings. The platform's configuration contains the same object with the
     * same field names.
     *
     * @param settings the JSON object with the settings
     * @return the settings of the routing policy
     * @throws InvalidMessageException if a field is missing, mistyped or out of range
     */
    public static RoutingSettings decode(JsonObject settings) throws InvalidMessageException {
        JsonObject specifics = settings.getObject(SettingsField.SPECIFICS);
        String discovery = settings.getString(SettingsField.DISCOVERY, DISCOVERY_PUSHED);
        return new RoutingSettings(
                (int) settings.getLong(SettingsField.ROUTERS, 1),
                (int) settings.getLong(SettingsField.SELF, 0),
                (int) settings.getLong(SettingsField.ZONE, 0, 0),
                DISCOVERY_ON_REQUEST.equals(discovery),
                settings.getDouble(SettingsField.OVER_QUOTA_WEIGHT, 1),
                LOAD_REPORT_MODES.read(
                        settings.getObject(SettingsField.FEEDBACK), SettingsField.LOAD_REPORTS),
                requestClasses(settings, specifics),
                tenants(settings),
                serverKinds(specifics),
                capabilities(settings, specifics),
                serverLimits(settings.getObject(SettingsField.RULES), specifics));
    }

    private static Capabilities capabilities(JsonObject settings, JsonObject specifics)
            throws InvalidMessageException {
        JsonObject limits = settings.getObject(SettingsField.LIMITS);
        JsonObject prices = settings.getObject(SettingsField.PRICES);
        return new Capabilities(
                (int) limits.getLong(SettingsField.MAX_ATTEMPTS, 1),
                limits.getBoolean(SettingsField.MAY_CANCEL),
                limits.getBoolean(SettingsField.MAY_PROBE),
                limits.getBoolean(SettingsField.RETRY_AFTER),
                limits.getLong(SettingsField.MAX_RETRY_AFTER_MICROS, 0, 0),
                specifics.getBoolean(SettingsField.DECODERS_MAY_PREFILL),
                limits.getBoolean(SettingsField.MAY_GOSSIP),
                prices.getDouble(SettingsField.PROBE_PRICE, 0),
                prices.getDouble(SettingsField.GOSSIP_PRICE, 0));
    }

    private static ServerLimits serverLimits(JsonObject rules, JsonObject specifics)
            throws InvalidMessageException {
        return new ServerLimits(
                rules.getDouble(SettingsField.COLD_CAPACITY_SHARE, 1),
                rules.getLong(SettingsField.WARM_UP_MICROS, 0, 0),
                rules.getDouble(SettingsField.OVERLOAD_MULTIPLE, 1),
                rules.getLong(SettingsField.OVERLOAD_MICROS, 1),
                specifics.getLong(SettingsField.RELEASE_WITHIN_MICROS, 1));
    }

    private static List<RequestClass> requestClasses(JsonObject settings, JsonObject specifics)
            throws InvalidMessageException {
        List<?> objectivesPer1000 =
                specifics.getList(SettingsField.LATENCY_OBJECTIVE_PER_1000_TOKENS);
        List<RequestClass> classes = new ArrayList<>();
        for (JsonObject row : settings.getObjects(SettingsField.REQUEST_CLASSES)) {
            double objectivePer1000 =
                    numberAt(
                            objectivesPer1000,
                            classes.size(),
                            SettingsField.LATENCY_OBJECTIVE_PER_1000_TOKENS);
            classes.add(requestClass(row, (long) objectivePer1000));
        }
        return classes;
    }

    private static RequestClass requestClass(JsonObject row, long objectivePer1000Micros)
            throws InvalidMessageException {
        return new RequestClass(
                row.getLong(SettingsField.LATENCY_OBJECTIVE_MICROS, 1),
                objectivePer1000Micros,
                row.getDouble(SettingsField.PRIORITY_WEIGHT, 1),
                IDEMPOTENCY.read(row, SettingsField.IDEMPOTENCY),
                row.contains(SettingsField.IDEMPOTENCY_SCOPE)
                        ? IDEMPOTENCY_SCOPES.read(row, SettingsField.IDEMPOTENCY_SCOPE)
                        : IdempotencyScope.ALL,
                row.getLong(SettingsField.IDEMPOTENCY_WINDOW_MICROS, 0, 0));
    }

    private static List<Tenant> tenants(JsonObject settings) throws InvalidMessageException {
        List<Tenant> tenants = new ArrayList<>();
        for (JsonObject row : settings.getObjects(SettingsField.TENANTS)) {
            tenants.add(new Tenant(row.getDouble(SettingsField.TENANT_QUOTA_PER_SECOND, 0)));
        }
        return tenants;
    }

    private static List<ServerKind> serverKinds(JsonObject specifics)
            throws InvalidMessageException {
        List<?> memory = specifics.getList(SettingsField.MEMORY_TOKENS);
        List<ServerKind> kinds = new ArrayList<>();
        for (Object role : specifics.getList(SettingsField.SERVER_ROLES)) {
            kinds.add(
                    new ServerKind(
                            ROLES.read(SettingsField.SERVER_ROLES, role),
                            (long) numberAt(memory, kinds.size(), SettingsField.MEMORY_TOKENS)));
        }
        return kinds;
    }

    /** {@return the number at an index of a list; 0 if the list is shorter} */
    private static double numberAt(List<?> values, int index, String field)
            throws InvalidMessageException {
        Object value = index < values.size() ? values.get(index) : Double.valueOf(0);
        if (!(value instanceof Number number)) {
            throw new InvalidMessageException("field \"" + field + "\" should hold numbers");
        }
        return number.doubleValue();
    }
}
