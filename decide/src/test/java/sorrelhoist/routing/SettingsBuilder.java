package sorrelhoist.routing;

import java.util.List;
import sorrelhoist.routing.RoutingSettings.Capabilities;
import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.IdempotencyScope;
import sorrelhoist.routing.RoutingSettings.LoadReportMode;
import sorrelhoist.routing.RoutingSettings.RequestClass;
import sorrelhoist.routing.RoutingSettings.Role;
import sorrelhoist.routing.RoutingSettings.ServerKind;
import sorrelhoist.routing.RoutingSettings.ServerLimits;
import sorrelhoist.routing.RoutingSettings.Tenant;

/** Small settings for the tests of this module: two routers, two classes, three kinds of server. */
final class SettingsBuilder {
    Idempotency idempotency = Idempotency.SAFE;
    IdempotencyScope idempotencyScope = IdempotencyScope.ALL;
    LoadReportMode loadReportMode = LoadReportMode.NONE;
    List<Tenant> tenants = List.of();
    boolean decodersMayPrefill;
    boolean probes;
    boolean cancel = true;
    int maxAttempts = 5;

    /** Whether the router subscribes to discovery and is permitted to gossip. */
    boolean connected;

    RoutingSettings build() {
        return new RoutingSettings(
                2,
                0,
                0,
                connected,
                0.1,
                loadReportMode,
                List.of(requestClass(Fixtures.SECOND, 1), requestClass(800_000, 3)),
                tenants,
                List.of(
                        new ServerKind(Role.READ, 200_000),
                        new ServerKind(Role.WRITE, 150_000),
                        new ServerKind(Role.BOTH, 150_000)),
                new Capabilities(
                        maxAttempts,
                        cancel,
                        probes,
                        true,
                        2 * Fixtures.SECOND,
                        decodersMayPrefill,
                        connected,
                        0.003,
                        0.003),
                new ServerLimits(
                        0.26,
                        12 * Fixtures.SECOND,
                        3,
                        3 * Fixtures.SECOND,
                        Fixtures.RESERVATION_LIMIT_MICROS));
    }

    private RequestClass requestClass(long latencyObjectiveMicros, double priorityWeight) {
        return new RequestClass(
                latencyObjectiveMicros,
                40_000,
                priorityWeight,
                idempotency,
                idempotencyScope,
                2 * Fixtures.SECOND);
    }
}
