package sorrelhoist.lab.fleet;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import sorrelhoist.lab.load.InferenceClient;
import sorrelhoist.lab.load.ScriptedRequest;
import sorrelhoist.lab.scenario.Scenario;
import sorrelhoist.protocol.net.LoopbackTransport;

/**
 * A scenario's fleet as processes on this machine: registry, planner, engines and edges, each on a
 * port of its own.
 */
public final class ProcessFleet implements AutoCloseable {
    /** The model that the templates name. */
    public static final String MODEL = "sorrel";

    private static final long READY_MILLIS = 30_000;

    /**
     * An engine of the fleet.
     *
     * @param id its name
     * @param role read or write
     * @param zone its zone
     * @param rack its rack
     */
    public record EngineSlot(String id, String role, String zone, String rack) {}

    private final Scenario scenario;
    private final FleetFiles files;
    private final List<String> command;
    private final Path folder;
    private final int portBase;
    private final EventLoopGroup loops = LoopbackTransport.newEventLoops(2, "lab");
    private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();
    private final List<EngineSlot> engines = new ArrayList<>();
    private final List<String> edges = new ArrayList<>();
    private final Map<String, String> zoneOf = new LinkedHashMap<>();
    private final Map<Integer, InferenceClient> clients = new ConcurrentHashMap<>();

    /**
     * Makes a fleet; {@link #start} starts it.
     *
     * @param scenario whose fleet
     * @param folder for settings, logs and traces; the templates lie there already
     * @param command that starts one process, without its sub-command
     * @param portBase first port of the edges, then planner and registry; 0 for ports that the
     *     system picks
     * @param engineExtra settings of the engines in place of the template's
     */
    public ProcessFleet(
            Scenario scenario,
            Path folder,
            List<String> command,
            int portBase,
            Map<String, Long> engineExtra) {
        this.scenario = scenario;
        this.folder = folder;
        this.command = command;
        this.portBase = portBase;
        this.files = new FleetFiles(folder, scenario, engineExtra);
        for (Scenario.Zone zone : scenario.zones()) {
            zone.racks().forEach(rack -> addEngines(zone.name(), rack));
            for (int i = 0; i < zone.edges(); i++) {
                String name = "edge-" + (edges.size() + 1);
                edges.add(name);
                zoneOf.put(name, zone.name());
            }
        }
    }

    private void addEngines(String zone, Scenario.Rack rack) {
        for (int i = 1; i <= rack.readers(); i++) {
            engines.add(new EngineSlot(rack.name() + "-r" + i, "read", zone, rack.name()));
        }
        for (int i = 1; i <= rack.writers(); i++) {
            engines.add(new EngineSlot(rack.name() + "-w" + i, "write", zone, rack.name()));
        }
    }

    /** An edge that records nothing; before {@link #start}. {@return this} */
    public ProcessFleet withoutRecording(String edge) {
        files.disableRecording(edge);
        return this;
    }

    /** {@return the engines} */
    public List<EngineSlot> engines() {
        return engines;
    }

    /** {@return how many edges there are} */
    public int edgeCount() {
        return edges.size();
    }

    /** {@return where the stand-ins' traces lie} */
    public Path traces() throws IOException {
        return files.traces();
    }

    /** {@return the event loops of this fleet's clients} */
    public EventLoopGroup loops() {
        return loops;
    }

    private ManagedProcess process(String name) {
        List<String> arguments = new ArrayList<>(command);
        arguments.addAll(
                1,
                name.startsWith("edge")
                        ? List.of("-Xmx512m")
                        : List.of("-Xmx160m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        return processes.computeIfAbsent(name, key -> new ManagedProcess(key, arguments, folder));
    }

    private int port(int offset) {
        return portBase == 0 ? 0 : portBase + offset;
    }

    /** Starts everything, and waits until every edge answers a request. */
    public void start() throws IOException {
        files.traces();
        String registry =
                ManagedProcess.await(
                        process("registry")
                                .start("registry", files.registry(port(edges.size() + 1))),
                        "registry");
        Map<String, CompletableFuture<String>> waiting = new LinkedHashMap<>();
        waiting.put(
                "planner",
                process("planner").start("planner", files.planner(port(edges.size()), registry)));
        long seed = scenario.seed();
        for (EngineSlot engine : engines) {
            waiting.put(
                    engine.id(),
                    process(engine.id())
                            .start(
                                    "engine",
                                    files.engine(
                                            engine.id(),
                                            engine.role(),
                                            engine.zone(),
                                            engine.rack(),
                                            registry,
                                            true,
                                            seed++)));
        }
        String planner = ManagedProcess.await(waiting.get("planner"), "planner");
        for (int i = 0; i < edges.size(); i++) {
            waiting.put(edges.get(i), startEdge(i, port(i), planner));
        }
        for (Map.Entry<String, CompletableFuture<String>> w : waiting.entrySet()) {
            ManagedProcess.await(w.getValue(), w.getKey());
        }
        awaitServing();
    }

    private CompletableFuture<String> startEdge(int number, int port, String planner)
            throws IOException {
        String name = edges.get(number);
        return process(name).start("edge", files.edge(name, zoneOf.get(name), port, planner));
    }

    /**
     * The edges are ready when they know of every engine; a short answer from each shows that the
     * path is whole.
     */
    private void awaitServing() throws IOException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MILLIS);
        for (int i = 0; i < edges.size(); i++) {
            InferenceClient client = edge(i);
            while (!serves(client)) {
                if (System.nanoTime() > end) {
                    throw new IOException(
                            edges.get(i)
                                    + " served nothing within "
                                    + READY_MILLIS
                                    + " ms: see "
                                    + folder.resolve(edges.get(i) + ".log"));
                }
            }
        }
    }

    private static boolean serves(InferenceClient client) {
        try {
            return client.send(
                            new ScriptedRequest(
                                    "", null, null, null, 0, "Are you there?", 2, 2_000_000),
                            (i, t) -> {})
                    .get(3, TimeUnit.SECONDS)
                    .served();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        } catch (ExecutionException | TimeoutException e) {
            return false;
        }
    }

    /** {@return a client of an edge, numbered from 0} */
    public InferenceClient edge(int number) {
        return clients.computeIfAbsent(
                number,
                n ->
                        new InferenceClient(
                                loops.next(), processes.get(edges.get(n)).address(), MODEL));
    }

    /** {@return the line that tells where everything listens} */
    public String readyLine() {
        StringBuilder line = new StringBuilder("ready edge=");
        for (int i = 0; i < edges.size(); i++) {
            line.append(i == 0 ? "" : ",").append(processes.get(edges.get(i)).address());
        }
        return line.append(" planner=")
                .append(processes.get("planner").address())
                .append(" registry=")
                .append(processes.get("registry").address())
                .toString();
    }

    /** {@return an address; null for what was never ready} */
    public String address(String name) {
        return processes.get(name).address();
    }

    /** Kills a process outright and waits until it is gone. */
    public void kill(String name) {
        processes.get(name).kill();
    }

    /** Starts an engine again, cold. */
    public void restartEngine(EngineSlot engine) throws IOException {
        Path config =
                files.engine(
                        engine.id(),
                        engine.role(),
                        engine.zone(),
                        engine.rack(),
                        address("registry"),
                        false,
                        scenario.seed());
        process(engine.id()).start("engine", config);
    }

    /** Starts an edge again, on the port that it had. */
    public void restartEdge(int number) throws IOException {
        startEdge(number, process(edges.get(number)).port(), address("planner"));
    }

    /** Starts the planner again, on the port that it had. */
    public void restartPlanner() throws IOException {
        process("planner")
                .start("planner", files.planner(process("planner").port(), address("registry")));
    }

    /** {@return the process id of a part of the fleet} */
    public long pid(String name) {
        return processes.get(name).pid();
    }

    @Override
    public void close() {
        clients.values().forEach(InferenceClient::close);
        List<ManagedProcess> all = new ArrayList<>(processes.values());
        all.parallelStream()
                .filter(process -> process.name().startsWith("edge"))
                .forEach(process -> process.stop(5));
        all.parallelStream()
                .filter(process -> !process.name().startsWith("edge"))
                .forEach(process -> process.stop(2));
        loops.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
    }
}
