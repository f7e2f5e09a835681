package sorrelhoist.lab.soak;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import sorrelhoist.lab.soak.FleetTimeline.RouterLife;
import sorrelhoist.lab.soak.FleetTimeline.WorkerStart;
import sorrelhoist.lab.soak.WorkerEntry.Role;
import sorrelhoist.lab.soak.WorkerEntry.State;
import sorrelhoist.protocol.net.LoopbackTransport;

/**
 * Routers as processes, and everything around them as stand-ins on one event loop. Methods are
 * called on the harness's main thread; what belongs to the loop is carried out there.
 */
final class SoakFleet implements AutoCloseable {
    private static final int MEMORY_MB = 160;
    private static final int SOCKETS = 256;
    private static final int ROUTER_PORT = 7070;
    private static final int PEER_PORT = 7946;
    private static final long LAG_LOOK_MILLIS = 20;
    private static final long LAG_LIMIT_MILLIS = 60;
    private static final long TOLD_MILLIS = 6000;
    final SoakPlan plan;
    final FleetRules rules = FleetRules.ORDINARY;
    final TrafficLog log = new TrafficLog();
    final FleetTimeline time = new FleetTimeline();
    final List<RouterUnit> routers = new ArrayList<>();
    final List<WorkerUnit> workers = new ArrayList<>();
    private final EventLoopGroup group = LoopbackTransport.newEventLoops(1, "soak");
    final EventLoop loop = group.next();
    final ClientTraffic clients;
    private long lagLookedAt = System.nanoTime();

    /** One router's process, its agent of discovery and its links. */
    final class RouterUnit implements ClientTraffic.RouterTarget {
        private final int number;
        final DiscoveryStandIn[] discoveries = {
            new DiscoveryStandIn(loop), new DiscoveryStandIn(loop)
        };
        final List<FaultProxy> links = new ArrayList<>();
        final RouterProcess process;
        private final Path config;
        private int discovery;
        private RouterLife life;
        volatile boolean takenIn;
        boolean busy;

        RouterUnit(int number) throws IOException {
            this.number = number;
            this.config = plan.folder().resolve("n" + number + ".json");
            SystemCallFaults faults =
                    plan.library() == null
                            ? null
                            : SystemCallFaults.prepare(
                                    plan.library(),
                                    plan.folder().resolve("n" + number + ".faults"));
            this.process =
                    new RouterProcess(
                            "n" + number,
                            new InetSocketAddress(host(), ROUTER_PORT),
                            config,
                            plan.folder().resolve("n" + number + ".log"),
                            plan.command(),
                            faults);
            for (DiscoveryStandIn d : discoveries) {
                d.start();
            }
        }

        private String host() {
            return routerHost(number);
        }

        @Override
        public int number() {
            return number;
        }

        @Override
        public int life() {
            return life.life;
        }

        RouterLife current() {
            return life;
        }

        @Override
        public boolean isTakenIn() {
            return takenIn;
        }

        @Override
        public String address() {
            return host() + ":" + ROUTER_PORT;
        }

        DiscoveryStandIn agent() {
            return discoveries[discovery];
        }

        /** Writes its configuration, with the list that its agent holds. */
        void configure() throws Exception {
            List<WorkerEntry> known = call(() -> agent().list());
            new RouterConfig(
                            number,
                            plan.routers(),
                            address(),
                            agent().address(),
                            peers(),
                            MEMORY_MB,
                            SOCKETS,
                            known,
                            rules)
                    .write(config);
        }

        /** Moves its discovery to the other address. */
        void moveDiscovery() throws Exception {
            discovery = 1 - discovery;
            configure();
        }

        void start() throws Exception {
            configure();
            RouterLife next =
                    new RouterLife(number, life == null ? 0 : life.life + 1, System.nanoTime());
            call(
                    () -> {
                        life = next;
                        time.lives.add(next);
                        // What the agent has counts as told from the first moment of a process.
                        for (WorkerUnit worker : workers) {
                            if (worker.state != State.ACTIVE) {
                                time.told(
                                        worker.standIn.uid,
                                        number,
                                        next.life,
                                        next.startedAt,
                                        false);
                            }
                        }
                        return null;
                    });
            process.start();
        }

        /** Looks whether it has become ready, or ended. */
        void look() throws Exception {
            if (life.readyAt == RequestTrace.NEVER && process.isAlive() && process.isReady()) {
                life.readyAt = System.nanoTime();
                takenIn = life.termAt == RequestTrace.NEVER;
            }
            if (life.endedAt == RequestTrace.NEVER && !process.isAlive()) {
                life.endedAt = System.nanoTime();
                life.exitStatus = process.awaitExit(0);
                takenIn = false;
            }
        }
    }

    /** One worker and what discovery says of it. */
    final class WorkerUnit {
        final int index;
        final WorkerStandIn standIn;
        State state = State.ACTIVE;
        long bootMillis;
        boolean busy;

        WorkerUnit(int index) throws IOException {
            this.index = index;
            Role role = index % 2 == 0 ? Role.READ : Role.WRITE;
            this.standIn =
                    new WorkerStandIn(
                            "w" + index,
                            role,
                            loop,
                            log,
                            plan.seed() * 31 + index,
                            rules.idleMillis());
            standIn.start();
        }

        private WorkerEntry entryFor(RouterUnit router) {
            return new WorkerEntry(
                    standIn.uid,
                    router.links.get(index).endpoint(),
                    standIn.role,
                    index / 4,
                    state,
                    bootMillis);
        }

        /** Tells every router of its state, as far as its agent can. */
        void tell() throws Exception {
            call(
                    () -> {
                        long now = System.nanoTime();
                        for (RouterUnit router : routers) {
                            DiscoveryStandIn agent = router.agent();
                            boolean heard = agent.isHeard();
                            for (DiscoveryStandIn d : router.discoveries) {
                                d.change(entryFor(router));
                            }
                            if (router.life != null && (heard || state == State.ACTIVE)) {
                                told(router, now);
                            } else if (router.life != null) {
                                awaitTold(router, router.life, now);
                            }
                        }
                        return null;
                    });
        }

        private void told(RouterUnit router, long at) {
            time.told(standIn.uid, router.number, router.life.life, at, state == State.ACTIVE);
            if (state == State.ACTIVE) {
                time.starts.stream()
                        .filter(s -> s.worker.equals(standIn.uid))
                        .reduce((a, b) -> b)
                        .ifPresent(s -> s.toldAt.put(router.number, at));
            }
        }

        /** What cannot be told now counts as told 6 s after the agent can be reached. */
        private void awaitTold(RouterUnit router, RouterLife life, long now) {
            State then = state;
            loop.schedule(
                    () -> {
                        if (router.life == life && state == then) {
                            if (router.agent().isHeard()) {
                                time.told(
                                        standIn.uid,
                                        router.number,
                                        life.life,
                                        now + TimeUnit.MILLISECONDS.toNanos(TOLD_MILLIS),
                                        false);
                            } else {
                                awaitTold(router, life, System.nanoTime());
                            }
                        }
                    },
                    TOLD_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    SoakFleet(SoakPlan plan) throws Exception {
        this.plan = plan;
        Files.createDirectories(plan.folder());
        for (int i = 0; i < plan.workers(); i++) {
            workers.add(new WorkerUnit(i));
        }
        for (int i = 0; i < plan.routers(); i++) {
            RouterUnit router = new RouterUnit(i);
            routers.add(router);
            for (WorkerUnit worker : workers) {
                FaultProxy link = new FaultProxy(loop, worker.standIn);
                link.open();
                router.links.add(link);
            }
        }
        clients =
                new ClientTraffic(
                        loop, log, plan.seed(), List.copyOf(routers), plan.requestsPerSecond());
        for (WorkerUnit worker : workers) {
            worker.tell();
        }
    }

    private String routerHost(int number) {
        // Addresses of its own for each run, so that runs beside each other do not meet.
        long run = ProcessHandle.current().pid();
        return "127." + (64 + run / 250 % 60) + "." + (1 + run % 250) + "." + (1 + number);
    }

    private List<String> peers() {
        List<String> peers = new ArrayList<>();
        for (int i = 0; i < plan.routers(); i++) {
            peers.add(routerHost(i) + ":" + PEER_PORT);
        }
        return peers;
    }

    /** Carries something out on the loop and waits for it. */
    <T> T call(Callable<T> what) throws Exception {
        try {
            return loop.submit(what).get();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof Exception cause ? cause : e;
        }
    }

    /** Carries something out on the loop and waits for it. */
    void run(Runnable what) throws Exception {
        call(
                () -> {
                    what.run();
                    return null;
                });
    }

    /** Notes that bytes on a link are lost, or late, from now on for so long. */
    void linkCut(RouterUnit router, WorkerUnit worker, long millis) {
        long now = System.nanoTime();
        time.linkCut(
                router.number,
                worker.standIn.uid,
                now,
                now + TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /** Kills a worker's process: its connections are reset, and new ones refused. */
    void killWorker(WorkerUnit worker) throws Exception {
        run(
                () -> {
                    worker.standIn.kill();
                    routers.forEach(r -> r.links.get(worker.index).close());
                    routers.forEach(r -> linkCut(r, worker, 0));
                });
    }

    /** Starts a worker's process anew: it is cold. */
    void startWorker(WorkerUnit worker) throws Exception {
        worker.standIn.start();
        worker.bootMillis = System.currentTimeMillis();
        for (RouterUnit router : routers) {
            router.links.get(worker.index).open();
        }
        run(
                () -> {
                    worker.standIn.drain(false);
                    time.starts.add(new WorkerStart(worker.standIn.uid, System.nanoTime()));
                });
    }

    /** Watches whether the harness's own loop is late: its stamps prove nothing then. */
    void watchLag() {
        loop.scheduleWithFixedDelay(
                () -> {
                    long now = System.nanoTime();
                    if (now - lagLookedAt
                            > TimeUnit.MILLISECONDS.toNanos(LAG_LOOK_MILLIS + LAG_LIMIT_MILLIS)) {
                        time.harnessLate(lagLookedAt, now);
                    }
                    lagLookedAt = now;
                },
                LAG_LOOK_MILLIS,
                LAG_LOOK_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        routers.forEach(r -> r.process.close());
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
