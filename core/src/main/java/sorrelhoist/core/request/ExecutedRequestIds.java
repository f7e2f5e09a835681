package sorrelhoist.core.request;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import sorrelhoist.routing.RoutingSettings.Idempotency;

/**
 * The client's IDs of requests that are over and may have had a side effect. A request that comes
 * again under such an ID must not be sent: its client may have left while an attempt was running.
 * Requests of idempotent classes are not remembered.
 */
final class ExecutedRequestIds {
    private static final long RETENTION_MICROS = 600_000_000;
    private static final int MAX_IDS = 8192;

    private final boolean enabled;
    private final IdempotencyWindow idempotency;
    private final RouterClock clock;

    /** The times until which IDs are remembered, the earliest first. */
    private final Map<String, Long> rememberedUntil = new LinkedHashMap<>();

    /**
     * Creates a table without IDs.
     *
     * @param enabled whether engines know requests by their client's ID
     * @param idempotency tells which requests may have a side effect
     * @param clock the router's clock
     */
    ExecutedRequestIds(boolean enabled, IdempotencyWindow idempotency, RouterClock clock) {
        this.enabled = enabled;
        this.idempotency = idempotency;
        this.clock = clock;
    }

    /** Remembers the ID of a request that is over, unless no attempt of it can have run. */
    void requestEnded(RequestState request, boolean served) {
        if (!mayHaveSideEffect(request)) {
            return;
        }
        boolean mayHaveRun =
                served
                        || request.mayHaveRunSince != RequestState.NEVER
                        || request.runningAttempt != null;
        if (mayHaveRun) {
            removeExpired();
            removeEarliestIfFull();
            rememberedUntil.remove(request.parameters.clientRequestId());
            rememberedUntil.put(
                    request.parameters.clientRequestId(), clock.now() + RETENTION_MICROS);
        }
    }

    /** {@return whether an earlier request with the same ID may have had a side effect} */
    boolean mayHaveRun(RequestState request) {
        if (!mayHaveSideEffect(request)) {
            return false;
        }
        removeExpired();
        return rememberedUntil.containsKey(request.parameters.clientRequestId());
    }

    private boolean mayHaveSideEffect(RequestState request) {
        return enabled && idempotency.idempotencyOf(request) != Idempotency.SAFE;
    }

    private void removeExpired() {
        Iterator<Long> earliest = rememberedUntil.values().iterator();
        while (earliest.hasNext() && earliest.next() <= clock.now()) {
            earliest.remove();
        }
    }

    private void removeEarliestIfFull() {
        if (rememberedUntil.size() == MAX_IDS) {
            rememberedUntil.remove(rememberedUntil.keySet().iterator().next());
        }
    }
}
