package sorrelhoist.routing;

import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.IdempotencyScope;
import sorrelhoist.routing.RoutingSettings.RequestClass;

/**
 * Decides at which endpoints a request may run again, and whether its client may be told that a
 * retry is harmless.
 */
final class IdempotencyGuard {
    private IdempotencyGuard() {}

    /**
     * Returns whether a request may run at an endpoint. A repeat has to be harmless: idempotent
     * classes may repeat anywhere, and classes with an idempotency key only within the key's scope
     * and window.
     */
    static boolean mayRunAt(TrackedRequest request, Endpoint endpoint, long now) {
        return request.mayHaveRunAt == null
                || mayRepeatAt(
                        request.requestClass,
                        request.mayHaveRunAt,
                        request.mayHaveRunSince,
                        endpoint,
                        now);
    }

    /**
     * {@return whether a request that was sent to one endpoint at {@code firstFrom}, and may have
     * run there, may run at another endpoint}
     */
    static boolean mayRepeatAt(
            RequestClass requestClass, Endpoint first, long firstSentAt, Endpoint next, long now) {
        Idempotency idempotency = requestClass.idempotency();
        if (idempotency == Idempotency.SAFE) {
            return true;
        }
        long windowEnd = firstSentAt + requestClass.idempotencyWindowMicros();
        if (idempotency == Idempotency.UNSAFE || now >= windowEnd) {
            return false;
        }
        return switch (requestClass.idempotencyScope()) {
            case ALL -> true;
            case ZONE -> next.zone == first.zone;
            case CELL -> next.cell == first.cell;
        };
    }

    /** {@return whether the request may have run and may not be repeated at any endpoint} */
    static boolean forbidsRetry(TrackedRequest request) {
        return request.mayHaveRunAt != null
                && request.requestClass.idempotency() == Idempotency.UNSAFE;
    }

    /**
     * Returns whether a request may be answered with a rejection. A rejection promises that a retry
     * by the client is harmless; where that is not known, the answer has to be a failure.
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
