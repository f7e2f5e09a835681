package sorrelhoist.edge;

import io.opentelemetry.api.OpenTelemetry;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import java.util.List;
import sorrelhoist.core.explain.ReasonFormatter;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.RoutingEvents.Outcome;

/**
 * Creates a span for each request and for each of its attempts, as children of the client's trace
 * (W3C Trace Context). If tracing is disabled, only forwards the client's traceparent header
 * unchanged. Thread-safe.
 */
final class Tracing {
    /** The outcome of a request that was served. */
    static final String REQUEST_SERVED = "Served";

    /** The outcome of a request whose client cancelled it. */
    static final String REQUEST_CANCELLED = "Cancelled";

    /** The outcome of a request whose client read nothing for too long. */
    static final String REQUEST_STALLED = "Stalled";

    /** The outcome of an attempt whose response was complete. */
    static final String ATTEMPT_DONE = "DONE";

    /** The outcome of an attempt that the router cancelled. */
    static final String ATTEMPT_CANCELLED = "dropped";

    /** The outcome of an attempt whose engine sent a malformed message. */
    static final String ATTEMPT_MALFORMED = "nonsense";

    private static final String INSTRUMENTATION = "sorrelhoist.edge";
    private static final String REQUEST_SPAN = "infer";
    private static final String TRACEPARENT = "traceparent";
    private static final String TRACESTATE = "tracestate";
    private static final AttributeKey<String> OUTCOME =
            AttributeKey.stringKey("sorrelhoist.outcome");
    private static final AttributeKey<String> REASON_KIND =
            AttributeKey.stringKey("sorrelhoist.reason");
    private static final AttributeKey<String> REASON_TEXT =
            AttributeKey.stringKey("sorrelhoist.why");
    private static final AttributeKey<String> ENGINE = AttributeKey.stringKey("sorrelhoist.engine");
    private static final AttributeKey<String> REQUEST_NAME =
            AttributeKey.stringKey("sorrelhoist.request");
    private static final AttributeKey<Long> ATTEMPT_NUMBER =
            AttributeKey.longKey("sorrelhoist.attempt");
    private static final AttributeKey<Long> PREVIOUS_ATTEMPTS =
            AttributeKey.longKey("rpc.grpc.previous_attempts");

    private final Tracer tracer;

    /**
     * Creates the tracing of an edge.
     *
     * @param telemetry receives the spans; null to disable tracing
     */
    Tracing(OpenTelemetry telemetry) {
        this.tracer = telemetry == null ? null : telemetry.getTracer(INSTRUMENTATION);
    }

    /** Starts a request's span and returns the request's trace context, never null. */
    RequestTrace startRequest(Headers headers, int previousAttempts) {
        if (tracer == null) {
            String traceparent = headers.get(TRACEPARENT);
            return traceparent == null ? RequestTrace.NONE : new RequestTrace(null, traceparent);
        }
        Context parent =
                W3CTraceContextPropagator.getInstance()
                        .extract(Context.root(), headers, HeadersGetter.INSTANCE);
        Span span =
                tracer.spanBuilder(REQUEST_SPAN)
                        .setParent(parent)
                        .setSpanKind(SpanKind.SERVER)
                        .setAttribute(PREVIOUS_ATTEMPTS, (long) previousAttempts)
                        .startSpan();
        return new RequestTrace(parent.with(span), null);
    }

    /**
     * Ends a request's span.
     *
     * @param request the request's trace context
     * @param outcome the request's outcome: {@link #REQUEST_SERVED}, which counts as success,
     *     {@link #REQUEST_CANCELLED}, {@link #REQUEST_STALLED} or a status code
     * @param reason the routing policy's reason; null if there is none
     */
    void requestEnded(RequestTrace request, String outcome, Reason reason) {
        if (request.context() == null) {
            return;
        }
        Span span = Span.fromContext(request.context());
        if (reason != null) {
            span.setAttribute(REASON_KIND, reason.kind().toString())
                    .setAttribute(REASON_TEXT, ReasonFormatter.describeFailure(reason));
        }
        end(span, outcome, outcome.equals(REQUEST_SERVED));
    }

    /**
     * Starts an attempt's span, and adds its trace context to the metadata of the call.
     *
     * @return the span; null if tracing is disabled
     */
    Span startAttempt(EngineAttempt attempt, Headers metadata) {
        RequestTrace request = (RequestTrace) attempt.request().attachment();
        if (request.traceparent() != null) {
            metadata.add(TRACEPARENT, request.traceparent());
        }
        if (request.context() == null) {
            return null;
        }
        Span span =
                tracer.spanBuilder(attempt.phase().spanName())
                        .setParent(request.context())
                        .setSpanKind(SpanKind.CLIENT)
                        .setAttribute(ENGINE, attempt.engine())
                        .setAttribute(REQUEST_NAME, attempt.requestName())
                        .setAttribute(ATTEMPT_NUMBER, (long) attempt.id().number())
                        .setAttribute(REASON_KIND, attempt.reason().kind().toString())
                        .startSpan();
        if (span.isRecording()) {
            span.setAttribute(REASON_TEXT, ReasonFormatter.describeSelection(attempt.reason()));
        }
        W3CTraceContextPropagator.getInstance()
                .inject(
                        request.context().with(span),
                        metadata,
                        (h, key, value) -> h.add(key, value));
        return span;
    }

    /**
     * Ends an attempt's span.
     *
     * @param span the attempt's span; null if tracing is disabled
     * @param outcome the attempt's outcome
     */
    void attemptEnded(Span span, String outcome) {
        if (span != null) {
            boolean succeeded =
                    outcome.equals(ATTEMPT_DONE) || outcome.equals(Outcome.READ.toString());
            end(span, outcome, succeeded);
        }
    }

    private static void end(Span span, String outcome, boolean succeeded) {
        span.setAttribute(OUTCOME, outcome);
        if (!succeeded) {
            span.setStatus(StatusCode.ERROR, outcome);
        }
        span.end();
    }

    /** Reads a client's trace context from the request headers. */
    private enum HeadersGetter implements TextMapGetter<Headers> {
        INSTANCE;

        @Override
        public Iterable<String> keys(Headers headers) {
            return List.of(TRACEPARENT, TRACESTATE);
        }

        @Override
        public String get(Headers headers, String key) {
            return headers == null ? null : headers.get(key);
        }
    }
}
