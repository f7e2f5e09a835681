package sorrelhoist.lab.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sorrelhoist.lab.judge.Judge;
import sorrelhoist.lab.judge.TraceEvent;
import sorrelhoist.lab.judge.Verdict;
import sorrelhoist.lab.load.ClientTraceWriter;
import sorrelhoist.lab.load.OpenLoopLoad;
import sorrelhoist.lab.scenario.Scenario;
import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.grpc.GrpcChannel;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.http1.HttpClient;
import sorrelhoist.protocol.http1.HttpMessage;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/**
 * Plays a day against a fleet of processes: its load, its faults when they are due, and the judge
 * at its end.
 */
public final class ScenarioRunner {
    private static final String CONTROL = "/sorrelhoist.standin.v1.Control/Do";
    private final Scenario day;
    private final ProcessFleet fleet;
    private final Consumer<String> say;
    private final SplittableRandom random;
    private ClientTraceWriter trace;
    private long start;

    /**
     * Makes a runner.
     *
     * @param day what to play
     * @param fleet started
     * @param say takes a line for people whenever something is done to the fleet
     */
    public ScenarioRunner(Scenario day, ProcessFleet fleet, Consumer<String> say) {
        this.day = day;
        this.fleet = fleet;
        this.say = say;
        this.random = new SplittableRandom(day.seed() ^ 0x5eed);
    }

    /**
     * Plays the day. Blocks until it is over.
     *
     * @param figures the rules' figures
     * @return what the judge found
     */
    public Verdict run(Judge.Limits figures) throws IOException {
        List<OpenLoopLoad.PlannedRequest> plan = OpenLoopLoad.plan(day, fleet.edgeCount());
        ScheduledExecutorService timer =
                Executors.newScheduledThreadPool(
                        4,
                        r -> {
                            Thread t = new Thread(r, "faults");
                            t.setDaemon(true);
                            return t;
                        });
        try (ClientTraceWriter clients =
                new ClientTraceWriter(fleet.traces().resolve("clients.jsonl"), "clients")) {
            trace = clients;
            start = System.nanoTime();
            for (Scenario.ScheduledAction e : day.events()) {
                List<Runnable> steps = steps(e);
                schedule(timer, e.at(), steps.get(0));
                if (steps.size() > 1 && e.duration() > 0) {
                    schedule(timer, e.at() + e.duration(), steps.get(1));
                }
            }
            OpenLoopLoad.run(plan, fleet::edge, clients, fleet.loops());
            long left = TimeUnit.MICROSECONDS.toNanos(lastEvent()) - (System.nanoTime() - start);
            // What is still held must have been let go before the stand-ins are asked.
            TimeUnit.NANOSECONDS.sleep(Math.max(0, left) + TimeUnit.MILLISECONDS.toNanos(1500));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } finally {
            timer.shutdownNow();
        }
        return Judge.judge(TraceEvent.readAll(fleet.traces()), figures);
    }

    private long lastEvent() {
        return day.events().stream().mapToLong(e -> e.at() + e.duration()).max().orElse(0);
    }

    private void schedule(ScheduledExecutorService timer, long at, Runnable what) {
        timer.schedule(
                () -> {
                    try {
                        what.run();
                    } catch (UncheckedIOException e) {
                        say.accept("could not: " + e.getMessage());
                    }
                },
                TimeUnit.MICROSECONDS.toNanos(at) - (System.nanoTime() - start),
                TimeUnit.NANOSECONDS);
    }

    private interface Step {
        void run() throws IOException;
    }

    private Runnable step(String what, Step step) {
        return () -> {
            say.accept(String.format("%6.1f s  %s", (System.nanoTime() - start) / 1e9, what));
            try {
                step.run();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        };
    }

    /** What is done at an event's beginning, and at its end where something is. */
    private List<Runnable> steps(Scenario.ScheduledAction e) {
        return switch (e.target()) {
            case "rack" ->
                    List.of(
                            step(
                                    "rack " + e.selector() + " is cut off",
                                    () ->
                                            fleet.engines().stream()
                                                    .filter(s -> s.rack().equals(e.selector()))
                                                    .forEach(
                                                            s ->
                                                                    tell(
                                                                            s,
                                                                            "cut "
                                                                                    + e.duration()
                                                                                            / 1000))));
            case "edge" -> {
                int number = Integer.parseInt(e.selector()) - 1;
                yield List.of(
                        step(
                                "edge " + e.selector() + " is killed",
                                () -> kill("edge-" + e.selector())),
                        step(
                                "edge " + e.selector() + " starts again",
                                () -> fleet.restartEdge(number)));
            }
            case "planner" ->
                    List.of(
                            step("the planner is killed", () -> kill("planner")),
                            step("the planner starts again", fleet::restartPlanner));
            case "registry" ->
                    List.of(
                            step(
                                    "the registry is told to " + e.action(),
                                    () ->
                                            registry(
                                                    e.action()
                                                            + (e.action().equals("lag")
                                                                    ? " " + (long) e.amount()
                                                                    : "")
                                                            + " "
                                                            + e.duration() / 1000)));
            case "load" -> List.of(step("a burst of " + e.amount() + " times the load", () -> {}));
            default -> engineSteps(e);
        };
    }

    private List<Runnable> engineSteps(Scenario.ScheduledAction e) {
        List<ProcessFleet.EngineSlot> all =
                fleet.engines().stream()
                        .filter(
                                s ->
                                        e.target().equals("engine")
                                                || s.role()
                                                        .equals(
                                                                e.target().equals("reader")
                                                                        ? "read"
                                                                        : "write"))
                        .toList();
        List<ProcessFleet.EngineSlot> chosen =
                e.selector().equals("every")
                        ? all
                        : List.of(
                                all.get(
                                        e.selector().equals("any")
                                                ? random.nextInt(all.size())
                                                : Integer.parseInt(e.selector()) - 1));
        String names = String.join(", ", chosen.stream().map(ProcessFleet.EngineSlot::id).toList());
        long ms = e.duration() / 1000;
        if (e.action().equals("crash")) {
            return List.of(
                    step(names + " crashes", () -> chosen.forEach(s -> kill(s.id()))),
                    step(
                            names + " starts again, cold",
                            () -> {
                                for (ProcessFleet.EngineSlot s : chosen) {
                                    fleet.restartEngine(s);
                                }
                            }));
        }
        if (e.action().equals("drain")) {
            return List.of(
                    step(names + " drains", () -> chosen.forEach(s -> tell(s, "drain"))),
                    step(names + " serves again", () -> chosen.forEach(s -> tell(s, "undrain"))));
        }
        String command =
                switch (e.action()) {
                    case "slow" -> "slow " + e.amount() + " " + ms;
                    case "errors" -> "errors " + e.amount() + " " + ms;
                    case "lose" -> "lose " + e.amount() + " " + ms;
                    case "flush" -> "flush " + e.amount();
                    default -> "hang " + ms;
                };
        return List.of(step(names + ": " + command, () -> chosen.forEach(s -> tell(s, command))));
    }

    private void kill(String name) {
        trace.line("killed", "target", name);
        fleet.kill(name);
    }

    private void tell(ProcessFleet.EngineSlot engine, String command) {
        GrpcChannel channel =
                new GrpcChannel(
                        fleet.loops().next(),
                        fleet.address(engine.id()),
                        GrpcChannel.Options.BACKGROUND);
        ClientCall call =
                channel.newCall(
                        CONTROL,
                        null,
                        new ClientCall.Listener() {
                            @Override
                            public void onMessage(ClientCall c, byte[] message, int wireBytes) {
                                c.consumeBytes(wireBytes);
                            }

                            @Override
                            public void onClose(
                                    ClientCall c,
                                    Status status,
                                    Headers trailers,
                                    ClientCall.Termination end) {
                                if (end != ClientCall.Termination.STATUS || !status.isOk()) {
                                    say.accept(
                                            engine.id()
                                                    + " was not told \""
                                                    + command
                                                    + "\": "
                                                    + status.message());
                                }
                                channel.shutdown();
                            }
                        });
        call.sendLast(new ProtoWriter().writeString(1, command).toByteArray());
        channel.loop().execute(() -> channel.start(call));
    }

    private void registry(String command) {
        String target =
                "/control?do=" + java.net.URLEncoder.encode(command, StandardCharsets.UTF_8);
        new HttpClient(fleet.loops().next(), fleet.address("registry"))
                .send(HttpMessage.request("POST", target, Map.of(), new byte[0]), 1_000_000);
    }

    /** {@return the rules' figures of the templates, with room for a busy machine} */
    public static Judge.Limits limits(Scenario day, Set<String> unsafe) {
        Set<Integer> indices = new java.util.HashSet<>();
        for (int i = 0; i < day.loads().size(); i++) {
            if (unsafe.contains(day.loads().get(i).requestClass())) {
                indices.add(i);
            }
        }
        return new Judge.Limits(0, 1_000_000, 500_000, 250_000, indices);
    }
}
