package sorrelhoist.routing;

import java.util.ArrayList;
import java.util.List;
import sorrelhoist.routing.Routing.*;

/** Small settings, servers and events for the module's tests. */
final class Fixtures {
    static final long SECOND = 1_000_000;
    static final long RELEASE = 500_000;

    private Fixtures() {}

    static RoutingSettings settings(
            Idempotency repeat, IdempotencyScope scope, boolean writersRead, List<Tenant> tenants) {
        return settings(
                repeat, scope, writersRead, tenants, false, LoadReportMode.NONE, false, true, 5);
    }

    static RoutingSettings settings(
            Idempotency repeat,
            IdempotencyScope scope,
            boolean writersRead,
            List<Tenant> tenants,
            boolean asks,
            LoadReportMode reports,
            boolean probes,
            boolean cancel,
            int attempts) {
        return new RoutingSettings(
                2,
                0,
                0,
                asks,
                0.1,
                reports,
                List.of(
                        new RequestClass(SECOND, 40_000, 1, repeat, scope, 2 * SECOND),
                        new RequestClass(800_000, 40_000, 3, repeat, scope, 2 * SECOND)),
                tenants,
                List.of(
                        new ServerKind(Role.READ, 200_000),
                        new ServerKind(Role.WRITE, 150_000),
                        new ServerKind(Role.BOTH, 150_000)),
                new Capabilities(
                        attempts,
                        cancel,
                        probes,
                        true,
                        2 * SECOND,
                        writersRead,
                        asks,
                        0.003,
                        0.003),
                new ServerLimits(0.26, 12 * SECOND, 3, 3 * SECOND, RELEASE));
    }

    static RoutingSettings plain() {
        return settings(Idempotency.SAFE, IdempotencyScope.ALL, false, List.of());
    }

    static Server reader(String id, int cell) {
        return new Server(id, 0, 0, cell, ServerState.SERVING, 1, 0);
    }

    static Server writer(String id, int cell) {
        return new Server(id, 0, 1, cell, ServerState.SERVING, 1, 0);
    }

    static Server with(Server s, ServerState state, long since) {
        return new Server(s.id(), s.zone(), s.kind(), s.cell(), state, s.size(), since);
    }

    static List<Server> fleet() {
        return List.of(
                reader("r1", 0),
                reader("r2", 0),
                reader("r3", 1),
                reader("r4", 1),
                writer("w1", 0),
                writer("w2", 0),
                writer("w3", 1),
                writer("w4", 1));
    }

    static Arrived request(long id, String session, String prefix, long prompt, long prefixTokens) {
        return new Arrived(id, 0, 0, session, prefix, prompt, prefixTokens, 200, 4 * SECOND);
    }

    static AttemptEnded ended(Send s, int attempt, Outcome outcome, long took, long note) {
        return new AttemptEnded(
                s.id(),
                attempt,
                s.server(),
                outcome,
                took,
                outcome == Outcome.DONE,
                note,
                ServerLoad.NONE);
    }

    static <T extends Action> List<T> all(List<Action> actions, Class<T> type) {
        List<T> found = new ArrayList<>();
        actions.stream().filter(type::isInstance).map(type::cast).forEach(found::add);
        return found;
    }

    static Send send(List<Action> actions) {
        List<Send> sends = all(actions, Send.class);
        if (sends.size() != 1) {
            throw new AssertionError("one send expected in " + actions);
        }
        return sends.get(0);
    }
}
