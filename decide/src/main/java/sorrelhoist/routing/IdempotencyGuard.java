package sorrelhoist.routing;

import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.IdempotencyScope;

/**
 * Decides where a request may run once more, and whether its client may be told that a retry is
 * harmless.
 */
final class IdempotencyGuard {
    private IdempotencyGuard() {}

    /**
     * A repeat must be harmless: anywhere for idempotent classes; for those with an idempotency key
     * where the key is known, within its window.
     */
    static boolean mayRunAt(TrackedRequest request, Endpoint endpoint, long now) {
        Idempotency idempotency = request.requestClass.idempotency();
        if (request.mayHaveRunAt == null || idempotency == Idempotency.SAFE) {
            return true;
        }
        long windowEnd = request.mayHaveRunFrom + request.requestClass.idempotencyWindowMicros();
        if (idempotency == Idempotency.UNSAFE || now >= windowEnd) {
            return false;
        }
        return switch (request.requestClass.idempotencyScope()) {
            case ALL -> true;
            case ZONE -> endpoint.zone == request.mayHaveRunAt.zone;
            case CELL -> endpoint.cell == request.mayHaveRunAt.cell;
        };
    }

    /** {@return whether no attempt at all may follow one that may have run} */
    static boolean forbidsRetry(TrackedRequest request) {
        return request.mayHaveRunAt != null
                && request.requestClass.idempotency() == Idempotency.UNSAFE;
    }

    /**
     * A rejection says that a retry is harmless; where that is not known, only a failure is true.
     */
    static boolean mayReject(TrackedRequest request) {
        boolean neverRan =
                request.mayHaveRunAt == null
                        && (request.attempt == null || request.attempt.prefill);
        Idempotency idempotency = request.requestClass.idempotency();
        return idempotency == Idempotency.SAFE
                || neverRan
                || idempotency == Idempotency.KEYED
                        && request.requestClass.idempotencyScope() == IdempotencyScope.ALL;
    }
}
