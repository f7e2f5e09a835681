package sorrelhoist.routing;

import java.util.List;
import java.util.Objects;
import sorrelhoist.routing.Routing.*;

/** Refuses settings with which no router could keep its rules; decides nothing. */
final class SettingsCheck {
    private SettingsCheck() {}

    static RoutingSettings checked(RoutingSettings s) {
        require(s != null, "settings");
        require(s.routers() > 0, "routers");
        require(s.self() >= 0, "self");
        require(s.loadReportMode() != null, "reports");
        require(whole(s.classes()) && !s.classes().isEmpty(), "classes");
        require(whole(s.tenants()), "tenants");
        require(whole(s.serverKinds()) && !s.serverKinds().isEmpty(), "kinds");
        require(s.capabilities() != null && s.capabilities().maxAttempts() > 0, "limits");
        require(s.capabilities().maxBackoffMicros() >= 0, "limits");
        require(
                s.serverLimits() != null
                        && s.serverLimits().reservationLimitMicros() > 0
                        && s.serverLimits().coldCapacityShare() > 0,
                "rules");
        require(
                s.serverLimits().warmUpMicros() >= 0 && s.serverLimits().overloadMultiple() > 0,
                "rules");
        require(s.serverLimits().overloadMicros() > 0, "rules");
        for (RequestClass c : s.classes()) {
            require(
                    c.latencyObjectiveMicros() > 0
                            && c.idempotency() != null
                            && c.idempotencyScope() != null,
                    "classes");
        }
        for (ServerKind k : s.serverKinds()) {
            require(k.role() != null, "kinds");
        }
        return s;
    }

    private static boolean whole(List<?> list) {
        return list != null && list.stream().noneMatch(Objects::isNull);
    }

    private static void require(boolean holds, String setting) {
        if (!holds) {
            throw new IllegalArgumentException("setting missing or inconsistent: " + setting);
        }
    }

    /**
     * The same settings with another number of routers: parts of the fleet are granted by it from
     * now on.
     */
    static RoutingSettings reseated(RoutingSettings s, Seated e) {
        return checked(
                new RoutingSettings(
                        e.routers(),
                        e.self(),
                        s.zone(),
                        s.subscribesToDiscovery(),
                        s.overQuotaPriorityWeight(),
                        s.loadReportMode(),
                        s.classes(),
                        s.tenants(),
                        s.serverKinds(),
                        s.capabilities(),
                        s.serverLimits()));
    }

    static long monotonic(long before, long time) {
        if (time < before) {
            throw new IllegalArgumentException(
                    "the clock went back from "
                            + before
                            + " to "
                            + time
                            + ": pass one monotonic clock to every call");
        }
        return time;
    }

    static void arrival(Arrived a, RoutingSettings settings, boolean open) {
        if (a.cls() < 0 || a.cls() >= settings.classes().size()) {
            throw new IllegalArgumentException(
                    "class " + a.cls() + " is not in the settings' classes");
        }
        if (open) {
            throw new IllegalArgumentException(
                    "request " + a.id() + " is open: give each try a new id");
        }
    }
}
