package sorrelhoist.edge;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.sdk.OpenTelemetrySdk;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.samplers.Sampler;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import sorrelhoist.core.request.AttemptId;
import sorrelhoist.core.request.InferenceRequest;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.routing.Reason;

/**
 * Measures the cost of the spans of one request and its two attempts: with tracing off, with
 * tracing on but the request not sampled, and with the request sampled.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class TracingBench {
    private final Headers headers =
            new Headers().add(":method", "POST").add(":path", "/a").add("te", "trailers");
    private final Tracing off = new Tracing(null);
    private final Tracing unsampled = of(Sampler.alwaysOff());
    private final Tracing sampled = of(Sampler.alwaysOn());

    private static Tracing of(Sampler sampler) {
        return new Tracing(
                OpenTelemetrySdk.builder()
                        .setTracerProvider(SdkTracerProvider.builder().setSampler(sampler).build())
                        .build());
    }

    private int request(Tracing tracing) {
        Headers metadata = new Headers();
        RequestTrace trace = tracing.startRequest(headers, 0);
        InferenceRequest request = InferenceRequest.builder("", 0, 1).attachment(trace).build();
        Span prefill =
                tracing.startAttempt(
                        attempt(EngineAttempt.Phase.PREFILL, 0, "r1", request), metadata);
        tracing.attemptEnded(prefill, Tracing.ATTEMPT_DONE);
        Span decode =
                tracing.startAttempt(
                        attempt(EngineAttempt.Phase.DECODE, 1, "w1", request), metadata);
        tracing.attemptEnded(decode, Tracing.ATTEMPT_DONE);
        tracing.requestEnded(trace, Tracing.REQUEST_SERVED, null);
        return metadata.size();
    }

    private static EngineAttempt attempt(
            EngineAttempt.Phase phase, int number, String engine, InferenceRequest request) {
        return new EngineAttempt(
                phase,
                new AttemptId(1, number),
                engine,
                "edge.1.2",
                request,
                Long.MAX_VALUE,
                Reason.UNKNOWN);
    }

    /** Tracing is off. */
    @Benchmark
    public int off() {
        return request(off);
    }

    /** Tracing is on, and the request is not sampled. */
    @Benchmark
    public int unsampled() {
        return request(unsampled);
    }

    /** Tracing is on, and the request is sampled. */
    @Benchmark
    public int sampled() {
        return request(sampled);
    }

    /** Runs the benchmark with the allocation profiler. */
    public static void main(String[] args) throws Exception {
        org.openjdk.jmh.Main.main(new String[] {"TracingBench", "-prof", "gc"});
    }
}
