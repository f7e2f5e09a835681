package sorrelhoist.routing;

import java.util.List;
import java.util.Objects;
import sorrelhoist.routing.RoutingEvents.Arrived;
import sorrelhoist.routing.RoutingEvents.Seated;
import sorrelhoist.routing.RoutingSettings.Capabilities;
import sorrelhoist.routing.RoutingSettings.RequestClass;
import sorrelhoist.routing.RoutingSettings.ServerKind;
import sorrelhoist.routing.RoutingSettings.ServerLimits;

/**
 * Rejects settings with which a router could not keep the routing rules, as they are missing or
 * inconsistent, and invalid events. It makes no routing decisions.
 */
final class InputValidator {
    private InputValidator() {}

    /**
     * Validates settings.
     *
     * @return the unchanged settings
     * @throws IllegalArgumentException if a setting is missing or inconsistent
     */
    static RoutingSettings validSettings(RoutingSettings settings) {
        require(settings != null, "settings");
        require(settings.routers() > 0, "routers");
        require(settings.self() >= 0, "self");
        require(settings.loadReportMode() != null, "reports");
        require(hasNoNull(settings.classes()) && !settings.classes().isEmpty(), "classes");
        require(hasNoNull(settings.tenants()), "tenants");
        require(hasNoNull(settings.serverKinds()) && !settings.serverKinds().isEmpty(), "kinds");
        require(isValid(settings.capabilities()), "limits");
        require(isValid(settings.serverLimits()), "rules");
        for (RequestClass requestClass : settings.classes()) {
            require(isValid(requestClass), "classes");
        }
        for (ServerKind kind : settings.serverKinds()) {
            require(kind.role() != null, "kinds");
        }
        return settings;
    }

    private static boolean isValid(Capabilities capabilities) {
        return capabilities != null
                && capabilities.maxAttempts() > 0
                && capabilities.maxBackoffMicros() >= 0;
    }

    private static boolean isValid(ServerLimits limits) {
        return limits != null
                && limits.reservationLimitMicros() > 0
                && limits.coldCapacityShare() > 0
                && limits.warmUpMicros() >= 0
                && limits.overloadMultiple() > 0
                && limits.overloadMicros() > 0;
    }

    private static boolean isValid(RequestClass requestClass) {
        return requestClass.latencyObjectiveMicros() > 0
                && requestClass.idempotency() != null
                && requestClass.idempotencyScope() != null;
    }

    private static boolean hasNoNull(List<?> list) {
        return list != null && list.stream().noneMatch(Objects::isNull);
    }

    private static void require(boolean holds, String setting) {
        if (!holds) {
            throw new IllegalArgumentException("setting missing or inconsistent: " + setting);
        }
    }

    /**
     * {@return the settings with a new number of routers and a new number of this router; this
     * router's share of the fleet changes from now on}
     */
    static RoutingSettings withRouters(RoutingSettings settings, Seated event) {
        return validSettings(
                new RoutingSettings(
                        event.routers(),
                        event.self(),
                        settings.zone(),
                        settings.subscribesToDiscovery(),
                        settings.overQuotaPriorityWeight(),
                        settings.loadReportMode(),
                        settings.classes(),
                        settings.tenants(),
                        settings.serverKinds(),
                        settings.capabilities(),
                        settings.serverLimits()));
    }

    /**
     * Validates the time of an event.
     *
     * @return the unchanged time
     * @throws IllegalArgumentException if it is before the previous time
     */
    static long monotonicTime(long before, long time) {
        if (time < before) {
            throw new IllegalArgumentException(
                    "time went backwards from "
                            + before
                            + " to "
                            + time
                            + ": pass one monotonic clock to every call");
        }
        return time;
    }

    /**
     * Validates an arriving request.
     *
     * @throws IllegalArgumentException if its class is unknown or its id is in use
     */
    static void checkArrival(Arrived event, RoutingSettings settings, boolean inUse) {
        if (event.cls() < 0 || event.cls() >= settings.classes().size()) {
            throw new IllegalArgumentException(
                    "class " + event.cls() + " is not an index into the settings' classes");
        }
        if (inUse) {
            throw new IllegalArgumentException(
                    "request " + event.id() + " is still open: use a new id for a retry");
        }
    }
}
