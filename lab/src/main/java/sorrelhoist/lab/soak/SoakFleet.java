package sorrelhoist.lab.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import sorrelhoist.lab.soak.FleetTimeline.WorkerStart;

/**
 * Routers as processes, and everything around them as stand-ins on one event loop. Methods are
 * called on the harness's main thread; what belongs to the loop is run there.
 */
final class SoakFleet implements AutoCloseable {
    final SoakPlan plan;
    final FleetRules rules;
    final TrafficLog log = new TrafficLog();
    final FleetTimeline timeline = new FleetTimeline();
    final List<RouterNode> routers = new ArrayList<>();
    final List<WorkerNode> workers = new ArrayList<>();
    final ClientTraffic clients;
    private final HarnessLoop harness = new HarnessLoop();

    /** Creates a fleet whose workers run and whose routers do not. */
    SoakFleet(SoakPlan plan) throws Exception {
        this.plan = plan;
        rules = FleetRules.ofSeed(plan.seed());
        Files.createDirectories(plan.folder());
        for (int i = 0; i < plan.workers(); i++) {
            workers.add(newWorker(i));
        }
        for (int i = 0; i < plan.routers(); i++) {
            routers.add(newRouter(i));
        }
        clients =
                new ClientTraffic(
                        harness.eventLoop(),
                        log,
                        plan.seed(),
                        List.copyOf(routers),
                        rules,
                        plan.requestsPerSecond());
        for (WorkerNode worker : workers) {
            worker.announce();
        }
    }

    private WorkerNode newWorker(int index) throws IOException {
        return new WorkerNode(
                index, plan.seed(), rules.idleTimeoutMillis(), harness, log, timeline, routers);
    }

    private RouterNode newRouter(int number) throws IOException {
        RouterNode router = new RouterNode(number, plan, rules, harness, timeline, workers);
        for (WorkerNode worker : workers) {
            long seed = Objects.hash(plan.seed(), number, worker.index);
            FaultProxy link = new FaultProxy(harness.eventLoop(), worker.standIn, seed);
            link.open();
            router.links.add(link);
        }
        return router;
    }

    /** Runs something on the stand-ins' event loop and waits for it. */
    <T> T callOnLoop(Callable<T> task) throws Exception {
        return harness.call(task);
    }

    /** Runs something on the stand-ins' event loop and waits for it. */
    void runOnLoop(Runnable task) throws Exception {
        harness.run(task);
    }

    /** Starts the clients, and the watch over the lag of the harness. */
    void startTraffic() throws Exception {
        harness.run(
                () -> {
                    harness.monitorLag(timeline);
                    clients.start();
                });
    }

    /** Records that bytes on a link are lost, or late, from now on for so long. */
    void recordLinkFault(RouterNode router, WorkerNode worker, long millis) {
        long now = System.nanoTime();
        long end = now + TimeUnit.MILLISECONDS.toNanos(millis);
        timeline.recordLinkFault(router.number(), worker.standIn.uid, now, end);
    }

    /** Kills a worker's process: its connections are reset, and new ones refused. */
    void killWorker(WorkerNode worker) throws Exception {
        harness.run(
                () -> {
                    worker.standIn.kill();
                    routers.forEach(router -> router.links.get(worker.index).close());
                    routers.forEach(router -> recordLinkFault(router, worker, 0));
                });
    }

    /** Starts a worker's process again: it is cold. */
    void startWorker(WorkerNode worker) throws Exception {
        worker.standIn.start();
        worker.bootMillis = System.currentTimeMillis();
        for (RouterNode router : routers) {
            router.links.get(worker.index).open();
        }
        harness.run(
                () -> {
                    worker.standIn.setDraining(false);
                    timeline.workerStarts.add(
                            new WorkerStart(worker.standIn.uid, System.nanoTime()));
                });
    }

    @Override
    public void close() {
        routers.forEach(router -> router.process.close());
        harness.close();
    }
}
