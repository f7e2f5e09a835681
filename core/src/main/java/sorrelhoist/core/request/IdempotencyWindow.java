package sorrelhoist.core.request;

import java.util.List;
import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.RequestClass;

/**
 * Computes until when a request that may have had a side effect may be sent again under its
 * idempotency key. The routing policy respects the window when it decides, but the connection may
 * have to be established between that decision and the sending of the bytes, so the window is
 * checked again before sending.
 */
final class IdempotencyWindow {
    /**
     * Upper bound of the delay between a transport's reading of its clock and its sending of the
     * bytes.
     */
    private static final long MAX_TRANSPORT_DELAY_MICROS = 150_000;

    private final List<RequestClass> classes;

    IdempotencyWindow(List<RequestClass> classes) {
        this.classes = classes;
    }

    Idempotency idempotencyOf(RequestState request) {
        return classOf(request).idempotency();
    }

    /**
     * {@return the latest time at which the last byte of the request may be sent; Long.MAX_VALUE
     * for no limit}
     */
    long sendByMicros(RequestState request) {
        RequestClass requestClass = classOf(request);
        boolean limited =
                request.mayHaveRunSince != RequestState.NEVER
                        && requestClass.idempotency() == Idempotency.KEYED;
        return limited
                ? request.mayHaveRunSince
                        + requestClass.idempotencyWindowMicros()
                        - MAX_TRANSPORT_DELAY_MICROS
                : Long.MAX_VALUE;
    }

    private RequestClass classOf(RequestState request) {
        return classes.get(request.parameters.classIndex());
    }
}
