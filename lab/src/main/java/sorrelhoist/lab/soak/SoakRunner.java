package sorrelhoist.lab.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sorrelhoist.lab.soak.FleetTimeline.RouterIncarnation;

/** Runs a plan on a fleet of real router processes and judges what clients and workers saw. */
public final class SoakRunner {
    private static final long START_TIMEOUT_MILLIS = 60_000;
    private static final long END_TIMEOUT_MILLIS = 6000;
    private static final String INVARIANT_MONITOR_TEXT = "invariant violated";
    private final Consumer<String> out;

    /**
     * Creates a runner.
     *
     * @param out takes its output, line by line
     */
    public SoakRunner(Consumer<String> out) {
        this.out = out;
    }

    /**
     * Runs a plan. Blocks until its processes have ended.
     *
     * @param plan what to run
     * @return what was found
     * @throws Exception if the fleet cannot be started or controlled
     */
    public SoakResult run(SoakPlan plan) throws Exception {
        SoakFleet fleet = new SoakFleet(plan);
        Thread closing = new Thread(fleet::close);
        Runtime.getRuntime().addShutdownHook(closing);
        try {
            return run(plan, fleet);
        } finally {
            fleet.close();
            Runtime.getRuntime().removeShutdownHook(closing);
        }
    }

    private SoakResult run(SoakPlan plan, SoakFleet fleet) throws Exception {
        for (RouterNode router : fleet.routers) {
            router.start();
        }
        for (RouterNode router : fleet.routers) {
            if (!router.process.awaitReady(START_TIMEOUT_MILLIS)) {
                throw new IOException(
                        router.process.name() + " did not become ready: " + router.process.log());
            }
            router.refreshState();
        }
        fleet.startTraffic();
        new FaultInjector(fleet, plan.faults())
                .run(System.nanoTime() + TimeUnit.SECONDS.toNanos(plan.seconds()));
        fleet.runOnLoop(fleet.clients::stop);
        endRouters(fleet);
        fleet.runOnLoop(() -> fleet.timeline.observedUntil(System.nanoTime()));
        return result(plan, fleet);
    }

    /** Ends every router with SIGTERM and gives it the time that the platform gives it. */
    private void endRouters(SoakFleet fleet) throws Exception {
        // The last requests, and the reservations for them, end first.
        Thread.sleep(END_TIMEOUT_MILLIS);
        for (RouterNode router : fleet.routers) {
            RouterIncarnation incarnation = router.currentIncarnation();
            if (router.process.isAlive() && incarnation.readyAt != RequestTrace.NEVER) {
                incarnation.terminatedAt = Math.min(incarnation.terminatedAt, System.nanoTime());
                router.process.signal("TERM");
            }
        }
        for (RouterNode router : fleet.routers) {
            RouterIncarnation incarnation = router.currentIncarnation();
            if (incarnation.terminatedAt != RequestTrace.NEVER) {
                incarnation.exitStatus = router.process.awaitExit(END_TIMEOUT_MILLIS);
                incarnation.endedAt = System.nanoTime();
            }
        }
    }

    private SoakResult result(SoakPlan plan, SoakFleet fleet) throws Exception {
        SoakOracle oracle = new SoakOracle(fleet.rules, fleet.log, fleet.timeline);
        double workerCapacity = 2 * plan.requestsPerSecond() / Math.max(1, plan.workers() / 2);
        List<Violation> violations =
                fleet.callOnLoop(
                        () -> oracle.judge(fleet.clients.unservableClients(), workerCapacity));
        int crashed =
                (int) violations.stream().filter(v -> v.invariant() == Invariant.ALIVE).count();
        long served =
                fleet.log.requests().stream().filter(r -> r.status == 200 && r.complete).count();
        return new SoakResult(
                fleet.log.requests().size(),
                plan.faults().size(),
                violations,
                crashed,
                oracle.excused(),
                reportedByRouters(fleet),
                served);
    }

    /** {@return the lines in which routers' own invariant monitors reported a violation} */
    private static List<String> reportedByRouters(SoakFleet fleet) throws IOException {
        List<String> reported = new ArrayList<>();
        for (RouterNode router : fleet.routers) {
            router.process
                    .log()
                    .lines()
                    .filter(line -> line.contains(INVARIANT_MONITOR_TEXT))
                    .forEach(line -> reported.add(router.process.name() + ": " + line));
        }
        return reported;
    }

    /**
     * Leaves faults out one after the other, as long as the same invariant is still violated.
     *
     * @param plan a run that failed
     * @param failed its result
     * @return the faults that are needed
     * @throws Exception if a fleet cannot be started or controlled
     */
    public List<ScheduledFault> minimize(SoakPlan plan, SoakResult failed) throws Exception {
        Invariant invariant = failed.violations().get(0).invariant();
        List<ScheduledFault> needed = new ArrayList<>(plan.faults());
        for (ScheduledFault candidate : plan.faults()) {
            List<ScheduledFault> fewer = new ArrayList<>(needed);
            fewer.remove(candidate);
            Path folder = plan.folder().resolve("without-" + plan.faults().indexOf(candidate));
            SoakResult again = run(plan.with(fewer, folder));
            if (again.violations().stream().anyMatch(v -> v.invariant() == invariant)) {
                needed = fewer;
                out.accept("not needed: " + candidate);
            }
        }
        return needed;
    }
}
