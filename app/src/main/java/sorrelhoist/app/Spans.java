package sorrelhoist.app;

import io.opentelemetry.api.OpenTelemetry;
import io.opentelemetry.sdk.OpenTelemetrySdk;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import io.opentelemetry.sdk.trace.samplers.Sampler;
import java.util.Collection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Spans as lines of the log, until there is a collector to send them to. */
public final class Spans implements SpanExporter {
    private static final Logger LOG = LoggerFactory.getLogger(Spans.class);

    private Spans() {}

    /**
     * Makes the telemetry of an edge.
     *
     * @param share of requests, 0 to 1, that are traced though their clients did not say
     * @return the telemetry; null for none
     */
    public static OpenTelemetry of(double share) {
        if (share <= 0) {
            return null;
        }
        return OpenTelemetrySdk.builder()
                .setTracerProvider(
                        SdkTracerProvider.builder()
                                .setSampler(Sampler.parentBased(Sampler.traceIdRatioBased(share)))
                                .addSpanProcessor(BatchSpanProcessor.builder(new Spans()).build())
                                .build())
                .build();
    }

    @Override
    public CompletableResultCode export(Collection<SpanData> spans) {
        for (SpanData s : spans) {
            var line =
                    LOG.atInfo()
                            .addKeyValue("event", "span")
                            .addKeyValue("trace", s.getTraceId())
                            .addKeyValue("span", s.getSpanId())
                            .addKeyValue("parent", s.getParentSpanId())
                            .addKeyValue(
                                    "took_us",
                                    (s.getEndEpochNanos() - s.getStartEpochNanos()) / 1000);
            s.getAttributes().forEach((k, v) -> line.addKeyValue(k.getKey(), v));
            line.log(s.getName());
        }
        return CompletableResultCode.ofSuccess();
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
