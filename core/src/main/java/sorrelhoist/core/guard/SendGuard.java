package sorrelhoist.core.guard;

import java.util.HashSet;
import java.util.Set;
import sorrelhoist.routing.Routing.Idempotency;
import sorrelhoist.routing.Routing.ListUpdateKind;
import sorrelhoist.routing.Routing.RoutingSettings;
import sorrelhoist.routing.Routing.Server;
import sorrelhoist.routing.Routing.ServerState;

/**
 * The one way of an attempt's bytes to a socket: asked at the last moment, when the connection
 * stands. It keeps its own account of the list, apart from what the decisions know.
 */
public final class SendGuard {
    private final InvariantMonitor monitor;
    private final SlowStartGuard slowStart;
    private final Set<String> serving = new HashSet<>();

    /**
     * Makes a guard that knows no engine.
     *
     * @param settings with the rules
     * @param monitor counts violations
     */
    public SendGuard(RoutingSettings settings, InvariantMonitor monitor) {
        this.monitor = monitor;
        this.slowStart =
                new SlowStartGuard(
                        settings.serverLimits().overloadMultiple()
                                * settings.serverLimits().coldCapacityShare(),
                        settings.serverLimits().overloadMicros(),
                        settings.serverLimits().warmUpMicros());
    }

    /**
     * What is about to be written.
     *
     * @param request its client's name for it
     * @param attempt its number
     * @param engine where it goes
     * @param history what happened to the request lately, for the log
     * @param open whether a client still waits for its answer
     * @param deadline until when it does
     * @param repeat whether the class may be repeated
     * @param mayHaveRun whether an earlier attempt may have had an effect
     * @param read whether it only reads the prompt, which has none
     * @param sendBy until when a repeat is harmless
     */
    public record Attempt(
            String request,
            int attempt,
            String engine,
            Object history,
            boolean open,
            long deadline,
            Idempotency repeat,
            boolean mayHaveRun,
            boolean read,
            long sendBy) {}

    /** Hears of engines, as discovery tells them. */
    public void listed(ListUpdateKind form, Iterable<Server> servers, long now) {
        if (form == ListUpdateKind.COMPLETE) {
            serving.clear();
        }
        for (Server server : servers) {
            if (server.state() == ServerState.SERVING) {
                serving.add(server.id());
                slowStart.listed(server.id(), server.kind(), server.since(), now);
            } else {
                serving.remove(server.id());
            }
            if (server.state() == ServerState.GONE) {
                slowStart.left(server.id());
            }
        }
    }

    /** {@return whether it may be written now; each reason against it is counted} */
    public boolean allows(Attempt a, long now) {
        boolean harmless =
                a.read()
                        || !a.mayHaveRun()
                        || a.repeat() == Idempotency.SAFE
                        || a.repeat() == Idempotency.KEYED && now < a.sendBy();
        boolean allowed = monitor.check(a.open(), Invariant.SEND_FOR_OPEN_REQUEST, now, a);
        allowed &= monitor.check(now < a.deadline(), Invariant.SEND_WITHIN_DEADLINE, now, a);
        allowed &=
                monitor.check(
                        serving.contains(a.engine()), Invariant.SEND_TO_SERVING_ENGINE, now, a);
        allowed &= monitor.check(harmless, Invariant.REPEAT_WITHOUT_SECOND_EFFECT, now, a);
        // The fleet's budget cannot be known here: one router's part is counted, and nothing is
        // held back for it.
        if (allowed) {
            monitor.check(slowStart.sent(a.engine(), now), Invariant.SLOW_START_BUDGET, now, a);
        }
        return allowed;
    }
}
