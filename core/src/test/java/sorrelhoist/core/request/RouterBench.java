package sorrelhoist.core.request;

import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.runner.RunnerException;
import sorrelhoist.core.record.DecisionListener;
import sorrelhoist.core.record.RecordEntry;
import sorrelhoist.core.record.Recorder;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.ServerLoad;

/**
 * Measures the router's cost of a whole request, from its arrival to its answer of two tokens, with
 * and without a recorder.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 5, time = 1)
@Measurement(iterations = 8, time = 1)
@Fork(2)
public class RouterBench {
    /** Whether decisions are recorded: "off", or "on" with chunks that are discarded at once. */
    @Param({"off", "on"})
    public String recorder;

    private final InferenceRequest[] calls = new InferenceRequest[64];
    private Router router;
    private AttemptId last;
    private long now = 1_000_000;
    private int nextCall;
    private long chunkBytes;
    private long requests;

    /** Creates a router with a complete endpoint list. */
    @Setup
    public void createRouter() {
        RouterSettings s = Fleet.settings(true, true, 3);
        DecisionListener listener =
                recorder.equals("off")
                        ? DecisionListener.NONE
                        : new Recorder(
                                new RecordEntry.Header(
                                        "bench",
                                        s.identity().name(),
                                        s.identity().incarnation(),
                                        s.routing(),
                                        s.seed()),
                                chunk -> {
                                    chunkBytes += chunk.length;
                                    return true;
                                });
        router = new Router(s, this::execute, listener);
        router.endpointsUpdated(now, ListUpdateKind.COMPLETE, Fleet.servers());
        for (int i = 0; i < calls.length; i++) {
            calls[i] =
                    InferenceRequest.builder("x".repeat(1000), 250, 2)
                            .clientRequestId("client-" + i)
                            .session("session-" + i)
                            .sharedPrefix("prefix-" + i % 8, 50)
                            .timeoutMicros(4_000_000)
                            .build();
        }
    }

    private void execute(Command command) {
        if (command instanceof Command.StartPrefill r) {
            last = r.attempt();
        } else if (command instanceof Command.StartDecode w) {
            last = w.attempt();
        }
    }

    /** Runs one request. {@return the router, so that the work is not optimized away} */
    @Benchmark
    public Router request() {
        requests++;
        now += 300;
        router.advance(now);
        router.requestArrived(now, calls[nextCall++ % calls.length]);
        router.prefillCompleted(now + 50, last, "state", 100, ServerLoad.NONE);
        router.tokenReceived(now + 100, last, 0, "a", null);
        router.tokenReceived(now + 150, last, 1, "b", null);
        router.tokenStreamCompleted(now + 200, last, 2, 0, ServerLoad.NONE);
        return router;
    }

    /** Prints the size of the record per request. */
    @org.openjdk.jmh.annotations.TearDown
    public void printRecordSize() {
        System.out.println(
                recorder + ": " + chunkBytes / Math.max(1, requests) + " bytes per request");
    }

    /** Runs this benchmark alone. */
    public static void main(String[] args) throws RunnerException {
        new org.openjdk.jmh.runner.Runner(
                        new org.openjdk.jmh.runner.options.OptionsBuilder()
                                .include(RouterBench.class.getSimpleName())
                                .build())
                .run();
    }
}
