package sorrelhoist.lab.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sorrelhoist.lab.soak.FleetTimeline.RouterLife;
import sorrelhoist.lab.soak.SoakFleet.RouterUnit;

/** Plays a plan on a fleet of real router processes and judges what clients and workers saw. */
public final class SoakRunner {
    private static final long START_MILLIS = 60_000;
    private static final long END_MILLIS = 6000;
    private static final String GUARD_LINE = "invariant violated";
    private final Consumer<String> out;

    /**
     * Makes a soak.
     *
     * @param out takes its lines
     */
    public SoakRunner(Consumer<String> out) {
        this.out = out;
    }

    /** Plays one run. */
    public SoakResult run(SoakPlan plan) throws Exception {
        try (SoakFleet fleet = new SoakFleet(plan)) {
            Thread ending = new Thread(fleet::close);
            Runtime.getRuntime().addShutdownHook(ending);
            try {
                return run(plan, fleet);
            } finally {
                fleet.close();
                Runtime.getRuntime().removeShutdownHook(ending);
            }
        }
    }

    private SoakResult run(SoakPlan plan, SoakFleet fleet) throws Exception {
        for (RouterUnit router : fleet.routers) {
            router.start();
        }
        for (RouterUnit router : fleet.routers) {
            if (!router.process.awaitReady(START_MILLIS)) {
                throw new IOException(
                        router.process.name() + " did not become ready: " + router.process.log());
            }
            router.look();
        }
        fleet.run(
                () -> {
                    fleet.watchLag();
                    fleet.clients.start();
                });
        new TroubleMaker(fleet, plan.faults())
                .play(System.nanoTime() + TimeUnit.SECONDS.toNanos(plan.seconds()));
        fleet.run(fleet.clients::stop);
        end(fleet);
        fleet.run(() -> fleet.time.observedUntil(System.nanoTime()));
        return result(plan, fleet);
    }

    /** Every router is told to end, and given the time that the platform gives it. */
    private void end(SoakFleet fleet) throws Exception {
        // The last requests, and what is held for them, have their time first.
        Thread.sleep(END_MILLIS);
        for (RouterUnit router : fleet.routers) {
            if (router.process.isAlive() && router.current().readyAt != RequestTrace.NEVER) {
                router.current().termAt = Math.min(router.current().termAt, System.nanoTime());
                router.process.signal("TERM");
            }
        }
        for (RouterUnit router : fleet.routers) {
            RouterLife life = router.current();
            if (life.termAt != RequestTrace.NEVER) {
                life.exitStatus = router.process.awaitExit(END_MILLIS);
                life.endedAt = System.nanoTime();
            }
        }
    }

    private SoakResult result(SoakPlan plan, SoakFleet fleet) throws Exception {
        SoakOracle oracle = new SoakOracle(fleet.rules, fleet.log, fleet.time);
        double reads = 2 * plan.requestsPerSecond() / Math.max(1, plan.workers() / 2);
        List<Violation> violations =
                fleet.call(() -> oracle.judge(fleet.clients.badClients(), reads));
        int crashed =
                (int) violations.stream().filter(v -> v.invariant() == Invariant.ALIVE).count();
        List<String> reported = new ArrayList<>();
        for (RouterUnit router : fleet.routers) {
            router.process
                    .log()
                    .lines()
                    .filter(line -> line.contains(GUARD_LINE))
                    .forEach(line -> reported.add(router.process.name() + ": " + line));
        }
        long served = fleet.log.requests().stream().filter(r -> r.status == 200 && r.whole).count();
        return new SoakResult(
                fleet.log.requests().size(),
                plan.faults().size(),
                violations,
                crashed,
                oracle.excused(),
                reported,
                served);
    }

    /**
     * Leaves troubles out one after the other, as long as the same invariant still breaks.
     *
     * @param plan a run that failed
     * @param failed its result
     * @return the troubles that are needed
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
