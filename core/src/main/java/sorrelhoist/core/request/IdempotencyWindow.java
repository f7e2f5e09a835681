package sorrelhoist.core.request;

import java.util.List;
import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.RequestClass;

/**
 * Until when a request that may have had an effect may be sent again under its idempotency key. The
 * routing policy heeds the window when it decides; until the bytes leave, a connection may have to
 * come up.
 */
final class IdempotencyWindow {
    /** The longest that a transport may be held up between its clock and its bytes. */
    private static final long MAX_TRANSPORT_DELAY_MICROS = 150_000;

    private final List<RequestClass> classes;

    IdempotencyWindow(List<RequestClass> classes) {
        this.classes = classes;
    }

    Idempotency idempotencyOf(RequestState request) {
        return classOf(request).idempotency();
    }

    /** {@return when the last byte has to have left; Long.MAX_VALUE for no limit} */
    long sendByMicros(RequestState request) {
        RequestClass requestClass = classOf(request);
        boolean limited =
                request.mayHaveRunFrom != RequestState.NEVER
                        && requestClass.idempotency() == Idempotency.KEYED;
        return limited
                ? request.mayHaveRunFrom
                        + requestClass.idempotencyWindowMicros()
                        - MAX_TRANSPORT_DELAY_MICROS
                : Long.MAX_VALUE;
    }

    private RequestClass classOf(RequestState request) {
        return classes.get(request.parameters.classIndex());
    }
}
