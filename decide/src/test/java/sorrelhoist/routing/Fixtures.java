package sorrelhoist.routing;

import java.util.ArrayList;
import java.util.List;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingEvents.Arrived;
import sorrelhoist.routing.RoutingEvents.AttemptEnded;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerLoad;
import sorrelhoist.routing.RoutingEvents.ServerState;
import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.IdempotencyScope;
import sorrelhoist.routing.RoutingSettings.Tenant;

/** Small settings, servers and events for the tests of this module. */
final class Fixtures {
    static final long SECOND = 1_000_000;
    static final long RESERVATION_LIMIT_MICROS = 500_000;

    private Fixtures() {}

    static RoutingSettings settings(
            Idempotency idempotency,
            IdempotencyScope scope,
            boolean decodersMayPrefill,
            List<Tenant> tenants) {
        SettingsBuilder builder = new SettingsBuilder();
        builder.idempotency = idempotency;
        builder.idempotencyScope = scope;
        builder.decodersMayPrefill = decodersMayPrefill;
        builder.tenants = tenants;
        return builder.build();
    }

    /** Returns settings that permit gossip between routers. */
    static RoutingSettings gossipSettings() {
        SettingsBuilder builder = new SettingsBuilder();
        builder.connected = true;
        return builder.build();
    }

    static RoutingSettings defaultSettings() {
        return new SettingsBuilder().build();
    }

    static Server prefillServer(String id, int cell) {
        return new Server(id, 0, 0, cell, ServerState.SERVING, 1, 0);
    }

    static Server decodeServer(String id, int cell) {
        return new Server(id, 0, 1, cell, ServerState.SERVING, 1, 0);
    }

    static Server withState(Server s, ServerState state, long since) {
        return new Server(s.id(), s.zone(), s.kind(), s.cell(), state, s.size(), since);
    }

    static List<Server> fleet() {
        return List.of(
                prefillServer("r1", 0),
                prefillServer("r2", 0),
                prefillServer("r3", 1),
                prefillServer("r4", 1),
                decodeServer("w1", 0),
                decodeServer("w2", 0),
                decodeServer("w3", 1),
                decodeServer("w4", 1));
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
            throw new AssertionError("expected exactly one send in " + actions);
        }
        return sends.get(0);
    }
}
