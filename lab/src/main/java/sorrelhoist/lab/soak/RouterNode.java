package sorrelhoist.lab.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import sorrelhoist.lab.soak.FleetTimeline.RouterIncarnation;
import sorrelhoist.lab.soak.WorkerEntry.State;

/** One router's process, its discovery agents and its links to the workers. */
final class RouterNode implements RouterEndpoint {
    private static final int MEMORY_MB = 160;
    private static final int SOCKETS = 256;

    /** Of a router's descriptors, clients hold one part in so many for requests. */
    private static final int CLIENT_SHARE = 3;

    final DiscoveryStandIn[] discoveryAgents;
    final List<FaultProxy> links = new ArrayList<>();
    final RouterProcess process;
    volatile boolean inRotation;
    boolean restarting;
    private final int number;
    private final SoakPlan plan;
    private final FleetRules rules;
    private final HarnessLoop harness;
    private final FleetTimeline timeline;
    private final List<WorkerNode> workers;
    private final Path config;
    private int currentAgent;
    private RouterIncarnation incarnation;

    RouterNode(
            int number,
            SoakPlan plan,
            FleetRules rules,
            HarnessLoop harness,
            FleetTimeline timeline,
            List<WorkerNode> workers)
            throws IOException {
        this.number = number;
        this.plan = plan;
        this.rules = rules;
        this.harness = harness;
        this.timeline = timeline;
        this.workers = workers;
        String name = "n" + number;
        config = plan.folder().resolve(name + ".json");
        Path library = plan.library();
        SystemCallFaults faults =
                library == null
                        ? null
                        : SystemCallFaults.prepare(
                                library, plan.folder().resolve(name + ".faults"));
        InetSocketAddress listen =
                new InetSocketAddress(RouterAddresses.host(number), RouterAddresses.CLIENT_PORT);
        Path log = plan.folder().resolve(name + ".log");
        process = new RouterProcess(name, listen, config, log, plan.command(), faults);
        discoveryAgents =
                new DiscoveryStandIn[] {
                    new DiscoveryStandIn(harness.eventLoop()),
                    new DiscoveryStandIn(harness.eventLoop())
                };
        for (DiscoveryStandIn agent : discoveryAgents) {
            agent.start();
        }
    }

    @Override
    public int number() {
        return number;
    }

    @Override
    public int incarnation() {
        return incarnation.number;
    }

    /** {@return its current process; null before the first} */
    RouterIncarnation currentIncarnation() {
        return incarnation;
    }

    @Override
    public boolean isInRotation() {
        return inRotation;
    }

    @Override
    public boolean isEnding() {
        return incarnation.terminatedAt != RequestTrace.NEVER
                && incarnation.endedAt == RequestTrace.NEVER;
    }

    @Override
    public int maxClientConnections() {
        return SOCKETS / CLIENT_SHARE;
    }

    @Override
    public String address() {
        return RouterAddresses.host(number) + ":" + RouterAddresses.CLIENT_PORT;
    }

    DiscoveryStandIn discoveryAgent() {
        return discoveryAgents[currentAgent];
    }

    /** Writes its configuration, with the list that its agent has. */
    private void writeConfig() throws Exception {
        List<WorkerEntry> known = harness.call(() -> discoveryAgent().listedWorkers());
        new RouterConfig(
                        number,
                        plan.routers(),
                        address(),
                        discoveryAgent().address(),
                        RouterAddresses.peers(plan.routers()),
                        MEMORY_MB,
                        SOCKETS,
                        known,
                        rules)
                .write(config);
    }

    /** Configures its other discovery agent. */
    void switchDiscoveryAgent() throws Exception {
        currentAgent = 1 - currentAgent;
        writeConfig();
    }

    /** Starts its process, which must not run. */
    void start() throws Exception {
        writeConfig();
        int next = incarnation == null ? 0 : incarnation.number + 1;
        RouterIncarnation started = new RouterIncarnation(number, next, System.nanoTime());
        harness.run(
                () -> {
                    incarnation = started;
                    timeline.incarnations.add(started);
                    recordKnownWorkers();
                });
        process.start();
    }

    /** What the agent has counts as told from the first moment of a process. */
    private void recordKnownWorkers() {
        for (WorkerNode worker : workers) {
            if (worker.state != State.ACTIVE) {
                timeline.recordNotification(
                        worker.standIn.uid,
                        number,
                        incarnation.number,
                        incarnation.startedAt,
                        false);
            }
        }
    }

    /** Notes whether its process has become ready, or ended. */
    void refreshState() throws Exception {
        if (incarnation.readyAt == RequestTrace.NEVER && process.isAlive() && process.isReady()) {
            incarnation.readyAt = System.nanoTime();
            inRotation = incarnation.terminatedAt == RequestTrace.NEVER;
        }
        if (incarnation.endedAt == RequestTrace.NEVER && !process.isAlive()) {
            incarnation.endedAt = System.nanoTime();
            incarnation.exitStatus = process.awaitExit(0);
            inRotation = false;
        }
    }
}
