package sorrelhoist.edge;

import io.opentelemetry.context.Context;

/**
 * The trace context of a request.
 *
 * @param context the context that holds the request's span; null if tracing is off
 * @param traceparent the client's header, passed on as it came if tracing is off; null if there is
 *     none
 */
record RequestTrace(Context context, String traceparent) {
    /** No context at all. */
    static final RequestTrace NONE = new RequestTrace(null, null);
}
