package sorrelhoist.core.request;

import java.util.ArrayList;
import java.util.List;
import sorrelhoist.core.reservation.ReleaseReach;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerState;
import sorrelhoist.routing.RoutingSettings;
import sorrelhoist.routing.RoutingSettings.Capabilities;
import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.IdempotencyScope;
import sorrelhoist.routing.RoutingSettings.LoadReportMode;
import sorrelhoist.routing.RoutingSettings.RequestClass;
import sorrelhoist.routing.RoutingSettings.Role;
import sorrelhoist.routing.RoutingSettings.ServerKind;
import sorrelhoist.routing.RoutingSettings.ServerLimits;

/**
 * Small settings and engine lists for tests: two prefill engines, three decode engines, and one
 * request class for each kind of idempotency.
 */
final class Fleet {
    static final long SECOND = 1_000_000;
    static final int SAFE = 0;
    static final int KEYED = 1;
    static final int UNSAFE = 2;
    static final long MARGIN = 20_000;
    static final long RELEASE = 500_000;
    static final long STALL = 3 * SECOND;

    private Fleet() {}

    static RoutingSettings decide(boolean cancel) {
        return new RoutingSettings(
                1,
                0,
                0,
                false,
                0.1,
                LoadReportMode.IN_OUTCOMES,
                List.of(
                        new RequestClass(
                                SECOND, 40_000, 1, Idempotency.SAFE, IdempotencyScope.ALL, 0),
                        new RequestClass(
                                SECOND,
                                40_000,
                                1,
                                Idempotency.KEYED,
                                IdempotencyScope.CELL,
                                2 * SECOND),
                        new RequestClass(
                                SECOND, 40_000, 1, Idempotency.UNSAFE, IdempotencyScope.ALL, 0)),
                List.of(),
                List.of(new ServerKind(Role.READ, 200_000), new ServerKind(Role.WRITE, 150_000)),
                new Capabilities(5, cancel, false, true, 2 * SECOND, false, false, 0.003, 0.003),
                new ServerLimits(0.26, 12 * SECOND, 3, 3 * SECOND, RELEASE));
    }

    static RouterSettings settings(boolean cancel, boolean resumes, long seed) {
        return new RouterSettings(
                new RouterIdentity("edge", 1),
                decide(cancel),
                new RequestTimeouts(
                        List.of(4 * SECOND, 4 * SECOND, 4 * SECOND), List.of(0L, 0L, 0L), MARGIN),
                StreamSettings.ofTokens(resumes, STALL),
                10_000,
                ReleaseReach.HOLDER,
                seed);
    }

    /**
     * {@return the settings of a router on the platform: opaque events, and releases by any engine}
     */
    static RouterSettings platformSettings(boolean decodersMayPrefill, long budget) {
        RoutingSettings plain = decide(true);
        Capabilities limits = plain.capabilities();
        Capabilities capabilities =
                new Capabilities(
                        limits.maxAttempts(),
                        limits.cancel(),
                        limits.probes(),
                        limits.backoffHints(),
                        limits.maxBackoffMicros(),
                        decodersMayPrefill,
                        limits.gossip(),
                        limits.probeCost(),
                        limits.gossipCost());
        return new RouterSettings(
                new RouterIdentity("router", 1),
                new RoutingSettings(
                        plain.routers(),
                        plain.self(),
                        plain.zone(),
                        plain.subscribesToDiscovery(),
                        plain.overQuotaPriorityWeight(),
                        plain.loadReportMode(),
                        plain.classes(),
                        plain.tenants(),
                        plain.serverKinds(),
                        capabilities,
                        plain.serverLimits()),
                new RequestTimeouts(List.of(budget, budget, budget), List.of(0L, 0L, 0L), 0),
                StreamSettings.ofOpaqueEvents(true, new SilenceLimits(SECOND, SECOND), STALL),
                100,
                ReleaseReach.ANY_ENGINE,
                7);
    }

    static List<Server> servers() {
        List<Server> all = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            all.add(new Server("r" + i, 0, 0, i, ServerState.SERVING, 1, 0));
        }
        for (int i = 0; i < 3; i++) {
            all.add(new Server("w" + i, 0, 1, i % 2, ServerState.SERVING, 1, 0));
        }
        return all;
    }

    /** {@return an endpoint list entry that marks one of {@link #servers()} as gone} */
    static Server goneServer(String id) {
        Server server = servers().stream().filter(s -> s.id().equals(id)).findFirst().orElseThrow();
        return new Server(
                id,
                server.zone(),
                server.kind(),
                server.cell(),
                ServerState.GONE,
                server.size(),
                0);
    }

    static InferenceRequest call(int cls, int maxTokens, long timeout) {
        return InferenceRequest.builder("x".repeat(400), 100, maxTokens)
                .clientRequestId("c")
                .classIndex(cls)
                .session("s")
                .sharedPrefix("p", 50)
                .timeoutMicros(timeout)
                .build();
    }
}
