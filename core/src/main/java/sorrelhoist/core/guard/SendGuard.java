package sorrelhoist.core.guard;

import java.util.HashSet;
import java.util.Set;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerState;
import sorrelhoist.routing.RoutingSettings;
import sorrelhoist.routing.RoutingSettings.Idempotency;

/**
 * The one way of an attempt's bytes to a socket: asked at the last moment, when the connection
 * stands. It keeps its own account of the endpoint list, apart from what the decisions know.
 */
public final class SendGuard {
    private final InvariantMonitor monitor;
    private final SlowStartGuard slowStart;
    private final Set<String> serving = new HashSet<>();

    /**
     * Creates a guard that knows no engine.
     *
     * @param settings with the limits of engines
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
     * @param requestName the request's name at engines
     * @param attempt its number
     * @param engine where it goes
     * @param history what happened to the request lately, for the log
     * @param open whether a client still waits for its result
     * @param deadline until when it does, in microseconds of the caller's clock
     * @param repetition what is known of repeating it
     */
    public record Attempt(
            String requestName,
            int attempt,
            String engine,
            Object history,
            boolean open,
            long deadline,
            Repetition repetition) {}

    /**
     * Whether sending a request may be a repetition, and what that can do.
     *
     * @param idempotency whether the request's class is idempotent
     * @param prefill whether the attempt only reads the prompt, which has no effect
     * @param mayHaveRun whether an earlier attempt may have had an effect
     * @param sendByMicros until when a repetition under the idempotency key is harmless, in
     *     microseconds of the caller's clock
     */
    public record Repetition(
            Idempotency idempotency, boolean prefill, boolean mayHaveRun, long sendByMicros) {
        boolean isHarmless(long now) {
            return prefill
                    || !mayHaveRun
                    || idempotency == Idempotency.SAFE
                    || idempotency == Idempotency.KEYED && now < sendByMicros;
        }
    }

    /** The endpoint list, or an update of it, as discovery gives it. */
    public void endpointsUpdated(ListUpdateKind updateKind, Iterable<Server> servers, long now) {
        if (updateKind == ListUpdateKind.COMPLETE) {
            serving.clear();
        }
        for (Server server : servers) {
            if (server.state() == ServerState.SERVING) {
                serving.add(server.id());
                slowStart.engineListed(server.id(), server.kind(), server.since(), now);
            } else {
                serving.remove(server.id());
            }
            if (server.state() == ServerState.GONE) {
                slowStart.engineRemoved(server.id());
            }
        }
    }

    /** {@return whether it may be written now; each reason against it is counted} */
    public boolean allows(Attempt attempt, long now) {
        boolean allowed = check(attempt.open(), Invariant.SEND_FOR_OPEN_REQUEST, attempt, now);
        allowed &= check(now < attempt.deadline(), Invariant.SEND_WITHIN_DEADLINE, attempt, now);
        allowed &=
                check(
                        serving.contains(attempt.engine()),
                        Invariant.SEND_TO_SERVING_ENGINE,
                        attempt,
                        now);
        allowed &=
                check(
                        attempt.repetition().isHarmless(now),
                        Invariant.REPEAT_WITHOUT_SECOND_EFFECT,
                        attempt,
                        now);
        // The fleet's budget cannot be known here: one router's part is counted, and nothing is
        // held back for it.
        if (allowed) {
            boolean withinBudget = slowStart.recordSend(attempt.engine(), now);
            check(withinBudget, Invariant.SLOW_START_BUDGET, attempt, now);
        }
        return allowed;
    }

    private boolean check(boolean holds, Invariant invariant, Attempt attempt, long now) {
        return monitor.check(holds, invariant, now, attempt);
    }
}
