package sorrelhoist.app.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sorrelhoist.lab.fleet.ProcessFleet;
import sorrelhoist.lab.load.InferenceClient;
import sorrelhoist.lab.load.ScriptedRequest;
import sorrelhoist.lab.scenario.Scenario;
import sorrelhoist.lab.scenario.ScenarioParser;
import sorrelhoist.protocol.net.LoopbackTransport;

/** Commands that start a fleet on this machine, or ask one. */
public final class FleetCommands {
    private static final String[] PROMPTS = {
        "Where is the pallet for dock seven?",
        "When does the truck come back?",
        "How many crates are on the morning list?"
    };
    private static final long PATIENCE = 10_000_000;

    private FleetCommands() {}

    /** Shows all of it once. */
    @Command(
            name = "demo",
            description =
                    "Starts a fleet, streams some prompts, plays a short bad day, and judges it.")
    public static final class Demo implements Callable<Integer> {
        @Option(names = "--seed", description = "the day's seed (default: the day's own)")
        Long seed;

        @Override
        public Integer call() throws IOException {
            Scenario day =
                    seed == null ? Fleets.builtIn() : Fleets.withSeed(Fleets.builtIn(), seed);
            Path folder = Fleets.folder("demo");
            try (ProcessFleet fleet = new ProcessFleet(day, folder, Fleets.self(), 0, Map.of())) {
                System.out.println(
                        "starting registry, planner, "
                                + fleet.edgeCount()
                                + " edges and "
                                + fleet.engines().size()
                                + " engines; settings, logs and traces are in "
                                + folder);
                fleet.start();
                System.out.println(fleet.readyLine());
                System.out.println();
                for (int i = 0; i < PROMPTS.length; i++) {
                    stream(fleet.edge(i % fleet.edgeCount()), PROMPTS[i], 24);
                }
                System.out.println();
                return Fleets.play(day, fleet) ? 0 : 1;
            }
        }
    }

    /** Streams an answer to the terminal. {@return whether it came whole} */
    static boolean stream(InferenceClient client, String prompt, int maxTokens) {
        System.out.println("> " + prompt);
        System.out.print("  ");
        try {
            InferenceClient.Result r =
                    client.send(
                                    new ScriptedRequest(
                                            "", null, null, null, 0, prompt, maxTokens, PATIENCE),
                                    (i, text) -> {
                                        System.out.print(text);
                                        System.out.flush();
                                    })
                            .get();
            System.out.println();
            if (!r.served()) {
                System.out.println(
                        "  "
                                + r.status().code()
                                + ": "
                                + r.status().message()
                                + (r.retryAfterMillis() > 0
                                        ? " (come back in " + r.retryAfterMillis() + " ms)"
                                        : ""));
            } else {
                System.out.printf(
                        "  (%d tokens, the first after %.1f ms)%n",
                        r.tokens(), r.firstTokenMicros() / 1000.0);
            }
            return r.served();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        } catch (ExecutionException e) {
            System.out.println("  " + e.getCause().getMessage());
            return false;
        }
    }

    /** Keeps a fleet until it is told to end. */
    @Command(name = "up", description = "Starts the demo's fleet and keeps it until SIGTERM.")
    public static final class Up implements Callable<Integer> {
        @Option(
                names = "--port-base",
                paramLabel = "N",
                defaultValue = "0",
                description =
                        "first port: edges, then planner and registry (default: the system picks)")
        int portBase;

        @Override
        public Integer call() throws IOException {
            if (portBase < 0 || portBase > 65_000) {
                System.err.println("--port-base: give 1 to 65000, or leave it out");
                return 2;
            }
            Lifetime life = new Lifetime();
            Path folder = Fleets.folder("up");
            try (ProcessFleet fleet =
                    new ProcessFleet(Fleets.builtIn(), folder, Fleets.self(), portBase, Map.of())) {
                fleet.start();
                System.out.println(fleet.readyLine());
                System.out.flush();
                life.await();
            }
            return 0;
        }
    }

    /** Asks an edge. */
    @Command(name = "ask", description = "Streams one answer to the terminal.")
    public static final class AskCommand implements Callable<Integer> {
        @Option(names = "--to", required = true, paramLabel = "HOST:PORT", description = "an edge")
        String to;

        @Option(
                names = "--max-tokens",
                defaultValue = "64",
                description = "the most that may be answered")
        int maxTokens;

        @Option(
                names = "--model",
                defaultValue = ProcessFleet.MODEL,
                description = "the model's name")
        String model;

        @Parameters(paramLabel = "PROMPT")
        String prompt;

        @Override
        public Integer call() {
            try {
                InferenceClient client =
                        new InferenceClient(
                                LoopbackTransport.newEventLoops(1, "ask").next(), to, model);
                return stream(client, prompt, maxTokens) ? 0 : 1;
            } catch (IllegalArgumentException e) {
                System.err.println("--to: " + e.getMessage());
                return 2;
            }
        }
    }

    /** Plays day files. */
    @Command(name = "day", description = "Works on scripted days.")
    public static final class DayCommand {
        @Command(name = "run", description = "Plays a day on a fleet of its own and judges it.")
        int run(
                @Parameters(paramLabel = "FILE") Path file,
                @Option(names = "--seed", description = "in place of the day's own") Long seed)
                throws IOException {
            Scenario day;
            try {
                day = ScenarioParser.parse(Files.readString(file));
            } catch (ScenarioParser.InvalidScenarioException e) {
                e.errors().forEach(f -> System.err.println(file + ":" + f));
                return 2;
            } catch (IOException e) {
                System.err.println(file + ": cannot be read: " + e.getMessage());
                return 2;
            }
            Scenario seeded = seed == null ? day : Fleets.withSeed(day, seed);
            try (ProcessFleet fleet =
                    new ProcessFleet(seeded, Fleets.folder("day"), Fleets.self(), 0, Map.of())) {
                fleet.start();
                return Fleets.play(seeded, fleet) ? 0 : 1;
            }
        }

        @Command(
                name = "show",
                description =
                        "Prints the day that comes with the program, to start one's own from.")
        int show() throws IOException {
            try (var in = FleetCommands.class.getResourceAsStream("/days/bad.day")) {
                System.out.write(in.readAllBytes());
                System.out.flush();
            }
            return 0;
        }
    }
}
