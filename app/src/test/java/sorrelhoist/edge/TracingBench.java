package sorrelhoist.edge;

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
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.routing.Reason;

/**
 * What the spans of one request and its two attempts cost: off, on but not sampled, and sampled.
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
        Object request = tracing.request(headers, 0);
        Object read =
                tracing.attempt(request, "prefill", "r1", "edge.1.2", 0, metadata, Reason.UNKNOWN);
        tracing.attemptEnded(read, "DONE");
        Object write =
                tracing.attempt(request, "decode", "w1", "edge.1.2", 1, metadata, Reason.UNKNOWN);
        tracing.attemptEnded(write, "DONE");
        tracing.requestEnded(request, "Served", null);
        return metadata.size();
    }

    /** Off. */
    @Benchmark
    public int off() {
        return request(off);
    }

    /** On, and this request is not sampled. */
    @Benchmark
    public int unsampled() {
        return request(unsampled);
    }

    /** On, and this request is sampled. */
    @Benchmark
    public int sampled() {
        return request(sampled);
    }

    /** Runs it. */
    public static void main(String[] args) throws Exception {
        org.openjdk.jmh.Main.main(new String[] {"TracingBench", "-prof", "gc"});
    }
}
