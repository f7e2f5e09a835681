package sorrelhoist.app.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sorrelhoist.lab.benchmark.EdgeBenchmark;
import sorrelhoist.lab.benchmark.FleetBenchmark;
import sorrelhoist.lab.benchmark.StreamBenchmark;
import sorrelhoist.lab.fleet.ProcessFleet;
import sorrelhoist.lab.sim.AdmissionStudy;
import sorrelhoist.lab.sim.StateTransferStudy;

/** Measures one edge on this machine. */
@Command(
        name = "measure",
        description = "Measures one edge: time added to a first token, throughput, CPU, memory.")
public final class MeasureCommand implements Callable<Integer> {
    @Option(
            names = "--requests",
            defaultValue = "100000",
            description = "number of requests for the throughput and memory measurements")
    int requests;

    @Option(names = "--concurrency", defaultValue = "64", description = "concurrent requests")
    int concurrency;

    @Option(names = "--tokens", defaultValue = "8", description = "tokens per answer")
    int tokens;

    @Command(
            name = "streams",
            description = "Measures how many streams of 20 tokens a second one edge carries.")
    int streams(
            @Option(
                            names = "--levels",
                            split = ",",
                            defaultValue = "250,500,1000,2000,4000,8000",
                            description = "numbers of streams")
                    int[] levels,
            @Option(
                            names = "--slow",
                            defaultValue = "0",
                            description = "share of clients that read slowly, 0 to 1")
                    double slow)
            throws IOException {
        try (ProcessFleet fleet =
                new ProcessFleet(
                        EdgeBenchmark.oneEdgeFleet(),
                        LocalFleets.newFolder("streams"),
                        LocalFleets.programCommand(),
                        0,
                        StreamBenchmark.STEADY_ENGINES)) {
            fleet.start();
            new StreamBenchmark(fleet, System.out::println).run(levels, slow);
        }
        return 0;
    }

    @Command(
            name = "fleet",
            description =
                    "Compares the demo's fleet with a plain client at steady rates and bursts.")
    int fleet(
            @Option(
                            names = "--rates",
                            split = ",",
                            defaultValue = "20,100,300,600,1000,1600",
                            description = "requests a second")
                    int[] rates,
            @Option(names = "--seconds", defaultValue = "8", description = "of each load")
                    int seconds,
            @Option(names = "--burst", defaultValue = "300", description = "requests at once")
                    int burst,
            @Option(names = "--bursts", defaultValue = "10", description = "bursts in a row")
                    int bursts,
            @Option(names = "--no-plain", description = "leave the plain client out") boolean alone,
            @Option(names = "--table", paramLabel = "FILE", description = "for the figures, as CSV")
                    Path table)
            throws IOException {
        if (Arrays.stream(rates).anyMatch(r -> r < 1 || r > 10_000)
                || seconds < 1
                || burst < 1
                || bursts < 0) {
            System.err.println(
                    "--rates from 1 to 10000, --seconds and --burst from 1, --bursts from 0");
            return 2;
        }
        try (ProcessFleet fleet =
                new ProcessFleet(
                        LocalFleets.builtInScenario(),
                        LocalFleets.newFolder("fleet"),
                        LocalFleets.programCommand(),
                        0,
                        Map.of())) {
            fleet.start();
            new FleetBenchmark(fleet, System.out::println)
                    .run(new FleetBenchmark.Plan(rates, seconds, burst, bursts, !alone), table);
        }
        return 0;
    }

    @Command(
            name = "door",
            description = "Simulates bursts that the engines have capacity for, in virtual time.")
    int door(
            @Option(
                            names = "--edges",
                            split = ",",
                            defaultValue = "2,10,50",
                            description = "sizes of fleets")
                    int[] sizes,
            @Option(names = "--seeds", defaultValue = "3", description = "runs per case") int seeds,
            @Option(names = "--table", paramLabel = "FILE", description = "for the figures, as CSV")
                    Path table)
            throws IOException {
        if (Arrays.stream(sizes).anyMatch(n -> n < 1 || n > 200) || seeds < 1) {
            System.err.println("--edges from 1 to 200, --seeds from 1");
            return 2;
        }
        new AdmissionStudy(System.out::println).run(sizes, seeds, table);
        return 0;
    }

    @Command(
            name = "recorder",
            description = "Measures the cost of recording: alternates edges with and without it.")
    int recorder(
            @Option(names = "--requests", defaultValue = "20000", description = "per turn")
                    int requests,
            @Option(names = "--turns", defaultValue = "6", description = "per edge") int turns)
            throws IOException {
        if (requests < 1 || turns < 1) {
            System.err.println("--requests and --turns from 1");
            return 2;
        }
        try (ProcessFleet fleet =
                new ProcessFleet(
                                EdgeBenchmark.twoEdgeFleet(),
                                LocalFleets.newFolder("recorder"),
                                LocalFleets.programCommand(),
                                0,
                                EdgeBenchmark.FAST_ENGINES)
                        .withoutRecording("edge-2")) {
            fleet.start();
            new EdgeBenchmark(fleet, System.out::println).runRecorder(requests, turns);
        }
        return 0;
    }

    @Command(
            name = "knowledge",
            description = "Simulates the benefit of teaching a new router, in virtual time.")
    int knowledge(
            @Option(
                            names = "--routers",
                            split = ",",
                            defaultValue = "3,50,150",
                            description = "sizes of fleets")
                    int[] sizes,
            @Option(names = "--seeds", defaultValue = "10", description = "runs per variant")
                    int seeds,
            @Option(
                            names = "--out",
                            required = true,
                            paramLabel = "FOLDER",
                            description = "folder for the table and the charts")
                    Path out)
            throws IOException {
        new StateTransferStudy(seeds, System.out::println).run(sizes, out);
        return 0;
    }

    @Override
    public Integer call() throws IOException {
        if (requests < 4 || concurrency < 1 || tokens < 1) {
            System.err.println("--requests from 4, --concurrency and --tokens from 1");
            return 2;
        }
        try (ProcessFleet fleet =
                new ProcessFleet(
                        EdgeBenchmark.oneEdgeFleet(),
                        LocalFleets.newFolder("measure"),
                        LocalFleets.programCommand(),
                        0,
                        EdgeBenchmark.FAST_ENGINES)) {
            fleet.start();
            new EdgeBenchmark(fleet, System.out::println).run(requests, concurrency, tokens);
        }
        return 0;
    }
}
