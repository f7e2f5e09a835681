package sorrelhoist.app;

import io.opentelemetry.api.OpenTelemetry;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.sdk.OpenTelemetrySdk;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import io.opentelemetry.sdk.trace.samplers.Sampler;
import java.util.Collection;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/** Exports trace spans as log lines, as long as there is no trace collector. */
public final class LogSpanExporter implements SpanExporter {
    private static final Logger LOG = LoggerFactory.getLogger(LogSpanExporter.class);

    private LogSpanExporter() {}

    /**
     * Creates an edge's telemetry.
     *
     * @param sampledShare the share, 0 to 1, of the requests without a sampling decision by the
     *     client that are traced
     * @return the telemetry; null if the share is 0
     */
    public static OpenTelemetry telemetry(double sampledShare) {
        if (sampledShare <= 0) {
            return null;
        }
        SdkTracerProvider tracerProvider =
                SdkTracerProvider.builder()
                        .setSampler(Sampler.parentBased(Sampler.traceIdRatioBased(sampledShare)))
                        .addSpanProcessor(BatchSpanProcessor.builder(new LogSpanExporter()).build())
                        .build();
        return OpenTelemetrySdk.builder().setTracerProvider(tracerProvider).build();
    }

    @Override
    public CompletableResultCode export(Collection<SpanData> spans) {
        spans.forEach(LogSpanExporter::log);
        return CompletableResultCode.ofSuccess();
    }

    private static void log(SpanData span) {
        long durationMicros =
                TimeUnit.NANOSECONDS.toMicros(span.getEndEpochNanos() - span.getStartEpochNanos());
        LoggingEventBuilder line =
                LOG.atInfo()
                        .addKeyValue("event", "span")
                        .addKeyValue("trace", span.getTraceId())
                        .addKeyValue("span", span.getSpanId())
                        .addKeyValue("parent", span.getParentSpanId())
                        .addKeyValue("took_us", durationMicros);
        for (Map.Entry<AttributeKey<?>, Object> attribute :
                span.getAttributes().asMap().entrySet()) {
            line = line.addKeyValue(attribute.getKey().getKey(), attribute.getValue());
        }
        line.log(span.getName());
    }

    @Override
    public CompletableResultCode flush() {
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
        return CompletableResultCode.ofSuccess();
    }
}
