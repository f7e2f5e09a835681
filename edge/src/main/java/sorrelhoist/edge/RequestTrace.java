package sorrelhoist.edge;

import io.opentelemetry.context.Context;

/**
 * The trace context of a request.
 *
 * @param context the context that holds the request's span; null if tracing is disabled
 * @param traceparent the client's header, forwarded unchanged if tracing is disabled; null if
 *     tracing is enabled or the client sent none
 */
record RequestTrace(Context context, String traceparent) {
    /** The trace context of a request that has neither a span nor a header to forward. */
    static final RequestTrace NONE = new RequestTrace(null, null);
}
