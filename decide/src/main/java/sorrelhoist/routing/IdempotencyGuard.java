package sorrelhoist.routing;

import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.IdempotencyScope;
import sorrelhoist.routing.RoutingSettings.RequestClass;

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
        return request.mayHaveRunAt == null
                || mayRepeatAt(
                        request.requestClass,
                        request.mayHaveRunAt,
                        request.mayHaveRunFrom,
                        endpoint,
                        now);
    }

    /** {@return whether what may have run at an endpoint from a time on may run at another one} */
    static boolean mayRepeatAt(
            RequestClass requestClass, Endpoint first, long firstFrom, Endpoint next, long now) {
        Idempotency idempotency = requestClass.idempotency();
        if (idempotency == Idempotency.SAFE) {
            return true;
        }
        long windowEnd = firstFrom + requestClass.idempotencyWindowMicros();
        if (idempotency == Idempotency.UNSAFE || now >= windowEnd) {
            return false;
        }
        return switch (requestClass.idempotencyScope()) {
            case ALL -> true;
            case ZONE -> next.zone == first.zone;
            case CELL -> next.cell == first.cell;
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
