package sorrelhoist.edge;

import java.util.List;
import java.util.Locale;
import sorrelhoist.core.request.RequestTimeouts;
import sorrelhoist.core.request.RouterIdentity;
import sorrelhoist.core.request.RouterSettings;
import sorrelhoist.core.request.StreamSettings;
import sorrelhoist.core.reservation.ReleaseReach;
import sorrelhoist.routing.RoutingSettings;

/** Converts an edge's settings to the settings of its router, and milliseconds to microseconds. */
final class RouterSettingsFactory {
    private static final long MICROS_PER_MILLI = 1000;

    /** The index among the edges that a router uses until the planner assigns one. */
    private static final int INITIAL_ROUTER_INDEX = 0;

    private RouterSettingsFactory() {}

    /** Returns the settings of an edge's router. */
    static RouterSettings create(EdgeSettings edge, long incarnation) {
        List<EdgeSettings.ClassSettings> classes = edge.classes();
        EdgeSettings.ServingSettings serving = edge.serving();
        return new RouterSettings(
                new RouterIdentity(edge.name(), incarnation),
                routing(edge),
                new RequestTimeouts(
                        classes.stream().map(c -> micros(c.deadlineMs())).toList(),
                        classes.stream().map(c -> micros(c.deadlineMsPer1000())).toList(),
                        micros(serving.marginMs())),
                StreamSettings.ofTokens(serving.resumes(), micros(serving.stallMs())),
                serving.maxOpen(),
                ReleaseReach.HOLDER,
                edge.seed() ^ incarnation);
    }

    private static RoutingSettings routing(EdgeSettings edge) {
        return new RoutingSettings(
                edge.routers(),
                INITIAL_ROUTER_INDEX,
                edge.zones().indexOf(edge.zone()),
                false,
                edge.limits().overShareWorth(),
                loadReportMode(edge.limits().reports()),
                edge.classes().stream().map(RouterSettingsFactory::requestClass).toList(),
                edge.tenants().stream()
                        .map(t -> new RoutingSettings.Tenant(t.perSecond()))
                        .toList(),
                edge.kinds().stream().map(RouterSettingsFactory::serverKind).toList(),
                capabilities(edge.limits()),
                serverLimits(edge.rules()));
    }

    private static RoutingSettings.LoadReportMode loadReportMode(String name) {
        return switch (name) {
            case "outcomes" -> RoutingSettings.LoadReportMode.IN_OUTCOMES;
            case "probes" -> RoutingSettings.LoadReportMode.IN_PROBES;
            default -> RoutingSettings.LoadReportMode.NONE;
        };
    }

    private static RoutingSettings.RequestClass requestClass(EdgeSettings.ClassSettings c) {
        return new RoutingSettings.RequestClass(
                micros(c.aimMs()),
                micros(c.aimMsPer1000()),
                c.worth(),
                RoutingSettings.Idempotency.valueOf(upperCase(c.repeat())),
                RoutingSettings.IdempotencyScope.valueOf(upperCase(c.scope())),
                micros(c.repeatWindowMs()));
    }

    private static RoutingSettings.ServerKind serverKind(EdgeSettings.KindSettings kind) {
        return new RoutingSettings.ServerKind(
                RoutingSettings.Role.valueOf(upperCase(kind.role())), kind.memoryTokens());
    }

    private static RoutingSettings.Capabilities capabilities(EdgeSettings.LimitSettings limits) {
        return new RoutingSettings.Capabilities(
                limits.maxAttempts(),
                limits.cancel(),
                limits.probes(),
                limits.backoffHints(),
                micros(limits.maxBackoffMs()),
                limits.writersRead(),
                limits.tells(),
                limits.probePrice(),
                limits.tellPrice());
    }

    private static RoutingSettings.ServerLimits serverLimits(EdgeSettings.RuleSettings rules) {
        return new RoutingSettings.ServerLimits(
                rules.coldFrom(),
                micros(rules.coldMs()),
                rules.fallMultiple(),
                micros(rules.fallMs()),
                micros(rules.releaseMs()));
    }

    private static long micros(long millis) {
        return millis * MICROS_PER_MILLI;
    }

    private static String upperCase(String name) {
        return name.toUpperCase(Locale.ROOT);
    }
}
