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

/**
 * A span for each request and one for each attempt, under the client's own trace (W3C Trace
 * Context). Where it is off, the client's header is passed on as it came and nothing else is done.
 */
final class Tracing {
    private static final String TRACEPARENT = "traceparent";
    private static final AttributeKey<String> OUTCOME =
            AttributeKey.stringKey("sorrelhoist.outcome");
    private static final AttributeKey<String> REASON = AttributeKey.stringKey("sorrelhoist.reason");
    private static final AttributeKey<String> WHY = AttributeKey.stringKey("sorrelhoist.why");
    private static final AttributeKey<String> ENGINE = AttributeKey.stringKey("sorrelhoist.engine");
    private static final AttributeKey<String> NAME = AttributeKey.stringKey("sorrelhoist.request");
    private static final AttributeKey<Long> NUMBER = AttributeKey.longKey("sorrelhoist.attempt");
    private static final AttributeKey<Long> TRIED =
            AttributeKey.longKey("rpc.grpc.previous_attempts");
    private static final TextMapGetter<Headers> GET =
            new TextMapGetter<>() {
                @Override
                public Iterable<String> keys(Headers headers) {
                    return List.of(TRACEPARENT, "tracestate");
                }

                @Override
                public String get(Headers headers, String key) {
                    return headers == null ? null : headers.get(key);
                }
            };

    private final Tracer tracer;

    /** Makes one; null for off. */
    Tracing(OpenTelemetry telemetry) {
        this.tracer = telemetry == null ? null : telemetry.getTracer("sorrelhoist.edge");
    }

    /**
     * {@return what stands for a request's span: a context, or where it is off the client's header
     * or null}
     */
    Object request(Headers headers, int previousAttempts) {
        if (tracer == null) {
            return headers.get(TRACEPARENT);
        }
        Context parent =
                W3CTraceContextPropagator.getInstance().extract(Context.root(), headers, GET);
        Span span =
                tracer.spanBuilder("infer")
                        .setParent(parent)
                        .setSpanKind(SpanKind.SERVER)
                        .setAttribute(TRIED, (long) previousAttempts)
                        .startSpan();
        return parent.with(span);
    }

    /**
     * Ends a request's span; the reason is Decide's, or null where the request ended without one.
     */
    void requestEnded(Object request, String outcome, Reason why) {
        if (request instanceof Context c) {
            if (why != null) {
                Span.fromContext(c)
                        .setAttribute(REASON, why.kind().toString())
                        .setAttribute(WHY, ReasonFormatter.describeFailure(why));
            }
            end(Span.fromContext(c), outcome, outcome.equals("Served"));
        }
    }

    /** {@return what stands for an attempt's span; puts its trace context into the metadata} */
    Object attempt(
            Object request,
            String what,
            String engine,
            String name,
            int number,
            Headers metadata,
            Reason why) {
        if (request instanceof String header) {
            metadata.add(TRACEPARENT, header);
        }
        if (!(request instanceof Context c)) {
            return null;
        }
        Span span =
                tracer.spanBuilder(what)
                        .setParent(c)
                        .setSpanKind(SpanKind.CLIENT)
                        .setAttribute(ENGINE, engine)
                        .setAttribute(NAME, name)
                        .setAttribute(NUMBER, (long) number)
                        .setAttribute(REASON, why.kind().toString())
                        .startSpan();
        if (span.isRecording()) {
            span.setAttribute(WHY, ReasonFormatter.describeSelection(why));
        }
        W3CTraceContextPropagator.getInstance()
                .inject(c.with(span), metadata, (h, k, v) -> h.add(k, v));
        return span;
    }

    void attemptEnded(Object attempt, String outcome) {
        if (attempt instanceof Span span) {
            end(span, outcome, outcome.equals("READ") || outcome.equals("DONE"));
        }
    }

    private static void end(Span span, String outcome, boolean good) {
        span.setAttribute(OUTCOME, outcome);
        if (!good) {
            span.setStatus(StatusCode.ERROR, outcome);
        }
        span.end();
    }
}
