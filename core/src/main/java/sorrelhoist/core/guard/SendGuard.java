package sorrelhoist.core.guard;

import java.util.HashSet;
import java.util.Set;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerState;
import sorrelhoist.routing.RoutingSettings;
import sorrelhoist.routing.RoutingSettings.Idempotency;

/**
 * Checks every attempt immediately before it is written to an established connection. All writes of
 * attempts pass through this guard. It tracks the endpoint list independently of the routing
 * policy.
 */
public final class SendGuard {
    private final InvariantMonitor monitor;
    private final SlowStartGuard slowStart;
    private final Set<String> serving = new HashSet<>();

    /**
     * Creates a guard without engines.
     *
     * @param settings the routing settings, which contain the limits of engines
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
     * An attempt that is about to be written.
     *
     * @param requestName the name under which engines know the request
     * @param attempt the number of the attempt
     * @param engine the engine to which it is sent
     * @param history the latest events of the request, for the log
     * @param open whether a client still waits for the result
     * @param deadline the client's deadline, in microseconds of the caller's clock
     * @param repetition whether the attempt may repeat an earlier one, and with what effect
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
     * Whether an attempt may repeat an earlier one, and what effect the repetition may have.
     *
     * @param idempotency the idempotency of the request's class
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

    /** Applies a complete endpoint list, or an update of it, as received from discovery. */
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

    /** {@return whether the attempt may be written now; every violated invariant is counted} */
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
        // The budget of an engine is shared by all routers and not known here. Only the sends of
        // this router are counted, and exceeding the budget does not stop an attempt.
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
