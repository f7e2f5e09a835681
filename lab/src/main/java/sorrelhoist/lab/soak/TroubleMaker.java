package sorrelhoist.lab.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import sorrelhoist.lab.soak.SoakFleet.RouterUnit;
import sorrelhoist.lab.soak.SoakFleet.WorkerUnit;
import sorrelhoist.lab.soak.SystemCallFaults.Errno;
import sorrelhoist.lab.soak.SystemCallFaults.SystemCall;
import sorrelhoist.lab.soak.WorkerEntry.State;
import sorrelhoist.lab.soak.WorkerStandIn.Misbehaviour;

/**
 * Carries a schedule out on a fleet: begins each trouble at its time and ends it again. On the
 * harness's main thread.
 */
final class TroubleMaker {
    private static final long LOOK_MILLIS = 20;
    private static final long FRONT_NOTICES_MILLIS = 300;
    private static final long PAUSE_MOST_MILLIS = 140;
    private static final long LEAVES_MILLIS = 2500;
    private static final long SHORT_FAULT_MILLIS = 900;
    private static final int HOUR_SECONDS = 3600;
    private final SoakFleet fleet;
    private final PriorityQueue<Step> steps = new PriorityQueue<>();
    private long count;

    /** Something to do at a time. */
    private record Step(long at, long number, Action action) implements Comparable<Step> {
        @Override
        public int compareTo(Step other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    /** What a step does. */
    private interface Action {
        void run() throws Exception;
    }

    TroubleMaker(SoakFleet fleet, List<ScheduledFault> troubles) {
        this.fleet = fleet;
        long start = System.nanoTime();
        troubles.forEach(
                t ->
                        steps.add(
                                new Step(
                                        start + TimeUnit.MILLISECONDS.toNanos(t.atMillis()),
                                        count++,
                                        () -> begin(t))));
    }

    /** Does what is due until the time is up, and looks after the processes meanwhile. */
    void play(long untilNanos) throws Exception {
        while (System.nanoTime() < untilNanos) {
            while (!steps.isEmpty() && steps.peek().at() <= System.nanoTime()) {
                steps.poll().action().run();
            }
            for (RouterUnit router : fleet.routers) {
                router.look();
            }
            Thread.sleep(LOOK_MILLIS);
        }
    }

    private void note(String what) throws IOException {
        String line =
                String.format(
                        Locale.ROOT, "%.3f %s%n", fleet.time.seconds(System.nanoTime()), what);
        Files.writeString(
                fleet.plan.folder().resolve("troubles.log"),
                line,
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
    }

    private void after(long millis, Action action) {
        steps.add(
                new Step(
                        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis),
                        count++,
                        action));
    }

    private void begin(ScheduledFault t) throws Exception {
        Random random = new Random(t.seed());
        RouterUnit router = fleet.routers.get(random.nextInt(fleet.routers.size()));
        WorkerUnit worker = fleet.workers.get(random.nextInt(fleet.workers.size()));
        note(t + " router " + router.number() + " worker " + worker.standIn.uid);
        switch (t.kind()) {
            case ROUTER_TERM -> term(router);
            case ROUTER_KILL -> kill(router);
            case ROUTER_PAUSE -> pause(router, 20 + random.nextInt((int) PAUSE_MOST_MILLIS - 20));
            case ROUTER_RELOAD -> reload(router);
            case ROUTER_RELOAD_TWICE -> {
                reload(router);
                after(random.nextInt(30), () -> reload(router));
            }
            case DISCOVERY_SILENT -> discovery(t, router, true);
            case DISCOVERY_DOWN -> discovery(t, router, false);
            case DISCOVERY_RENUMBERED -> fleet.run(() -> router.agent().renumber());
            case DISCOVERY_SLOW -> {
                fleet.run(() -> router.agent().slow(true));
                after(
                        t.lastsMillis(),
                        () ->
                                fleet.run(
                                        () ->
                                                List.of(router.discoveries)
                                                        .forEach(d -> d.slow(false))));
            }
            case WATCHES_MUTED ->
                    fleet.run(() -> fleet.routers.forEach(r -> r.agent().muteOpenWatches()));
            case WORKER_KILLED -> replace(worker, t.lastsMillis(), false);
            case WORKER_HANGS -> hang(worker, t.lastsMillis());
            case WORKER_DRAINS -> replace(worker, t.lastsMillis(), true);
            case WORKER_MISBEHAVES -> misbehave(worker, t, random);
            case LINK_SILENT -> link(router, worker, t.lastsMillis(), random.nextBoolean());
            case LINK_RESET ->
                    fleet.run(
                            () -> {
                                router.links.forEach(FaultProxy::reset);
                                fleet.workers.forEach(w -> fleet.linkCut(router, w, 0));
                            });
            case CLIENTS_IDLE_CROWD -> crowd(router, t, 150 + random.nextInt(200), true);
            case CLIENTS_BAD_CROWD -> crowd(router, t, 10 + random.nextInt(40), false);
            case CLIENTS_BURST -> {
                fleet.run(() -> fleet.clients.burst(2));
                after(t.lastsMillis(), () -> fleet.run(() -> fleet.clients.burst(0.5)));
            }
            case CLIENTS_LARGE -> {
                fleet.run(() -> fleet.clients.large(0.3));
                after(t.lastsMillis(), () -> fleet.run(() -> fleet.clients.large(0)));
            }
            case SYSTEM_CALLS_FAIL -> systemCalls(router, random);
            case WALL_CLOCK_STEPS -> stepClock(router, random);
            default -> throw new IllegalStateException("unknown trouble " + t.kind());
        }
    }

    private void term(RouterUnit router) throws Exception {
        if (router.busy || !router.process.isAlive()) {
            return;
        }
        router.busy = true;
        router.current().termAt = System.nanoTime();
        router.process.signal("TERM");
        after(FRONT_NOTICES_MILLIS, () -> router.takenIn = false);
        restartOnceEnded(
                router, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(killAfterMillis()));
    }

    /** SIGKILL comes no sooner than the longest deadline and 0.7 s more after SIGTERM. */
    private static long killAfterMillis() {
        return 4000 + 700 + 500;
    }

    private void restartOnceEnded(RouterUnit router, long killAt) {
        after(
                100,
                () -> {
                    router.look();
                    if (router.process.isAlive() && System.nanoTime() < killAt) {
                        restartOnceEnded(router, killAt);
                        return;
                    }
                    if (router.process.isAlive()) {
                        router.current().killedAt = System.nanoTime();
                        router.process.kill();
                        router.look();
                    }
                    router.start();
                    router.busy = false;
                });
    }

    private void kill(RouterUnit router) throws Exception {
        if (router.busy || !router.process.isAlive()) {
            return;
        }
        router.busy = true;
        router.current().killedAt = System.nanoTime();
        router.takenIn = false;
        router.process.kill();
        router.look();
        after(
                500,
                () -> {
                    router.start();
                    router.busy = false;
                });
    }

    private void pause(RouterUnit router, long millis) throws Exception {
        router.process.signal("STOP");
        Thread.sleep(millis);
        router.process.signal("CONT");
    }

    private void reload(RouterUnit router) throws Exception {
        if (router.busy
                || router.current().readyAt == RequestTrace.NEVER
                || !router.process.isAlive()) {
            return;
        }
        router.moveDiscovery();
        router.process.signal("HUP");
    }

    private void discovery(ScheduledFault t, RouterUnit router, boolean silent) throws Exception {
        DiscoveryStandIn agent = router.agent();
        fleet.run(
                () -> {
                    if (silent) {
                        agent.silent(true);
                    } else {
                        agent.stop();
                    }
                });
        after(
                t.lastsMillis(),
                () -> {
                    if (silent) {
                        fleet.run(() -> agent.silent(false));
                    } else {
                        agent.start();
                    }
                });
    }

    /** A worker drains or dies, leaves, and comes back cold. */
    private void replace(WorkerUnit worker, long millis, boolean drains) throws Exception {
        long alike =
                fleet.workers.stream()
                        .filter(w -> w.standIn.role == worker.standIn.role && !w.busy)
                        .count();
        if (worker.busy || alike < 2) {
            return;
        }
        worker.busy = true;
        worker.state = drains ? State.LEAVING : State.LEFT;
        if (drains) {
            worker.tell();
            fleet.run(() -> worker.standIn.drain(true));
        } else {
            fleet.killWorker(worker);
            after(1 + millis / 4, worker::tell);
        }
        after(
                Math.max(millis, LEAVES_MILLIS),
                () -> {
                    fleet.killWorker(worker);
                    worker.state = State.LEFT;
                    worker.tell();
                });
        after(
                Math.max(millis, LEAVES_MILLIS) + 1000,
                () -> {
                    fleet.startWorker(worker);
                    worker.state = State.ACTIVE;
                    worker.tell();
                    worker.busy = false;
                });
    }

    private void hang(WorkerUnit worker, long millis) throws Exception {
        fleet.run(() -> worker.standIn.hang(true));
        after(millis, () -> fleet.run(() -> worker.standIn.hang(false)));
    }

    private void misbehave(WorkerUnit worker, ScheduledFault t, Random random) throws Exception {
        Misbehaviour[] all = Misbehaviour.values();
        Misbehaviour how = all[1 + random.nextInt(all.length - 1)];
        double share = 0.2 + 0.8 * random.nextDouble();
        fleet.run(() -> worker.standIn.misbehave(how, share));
        after(
                t.lastsMillis(),
                () -> fleet.run(() -> worker.standIn.misbehave(Misbehaviour.NONE, 0)));
    }

    private void link(RouterUnit router, WorkerUnit worker, long millis, boolean all)
            throws Exception {
        List<FaultProxy> cut =
                all
                        ? List.copyOf(router.links.subList(0, router.links.size() / 2))
                        : List.of(router.links.get(worker.index));
        fleet.run(() -> cut.forEach(link -> link.silent(true)));
        for (WorkerUnit w : fleet.workers) {
            if (cut.contains(router.links.get(w.index))) {
                fleet.run(() -> fleet.linkCut(router, w, millis));
            }
        }
        after(millis, () -> fleet.run(() -> cut.forEach(link -> link.silent(false))));
    }

    private void crowd(RouterUnit router, ScheduledFault t, int connections, boolean idle)
            throws Exception {
        if (!router.takenIn) {
            return;
        }
        long now = System.nanoTime();
        fleet.run(
                () -> {
                    fleet.time.crowded(
                            now,
                            now + TimeUnit.MILLISECONDS.toNanos(t.lastsMillis() + LEAVES_MILLIS));
                    if (idle) {
                        fleet.clients.idleCrowd(router, connections);
                    } else {
                        fleet.clients.badCrowd(router, connections);
                    }
                });
    }

    private void systemCalls(RouterUnit router, Random random) throws IOException {
        SystemCallFaults faults = router.process.faults();
        if (faults == null) {
            return;
        }
        SystemCall[] calls = {
            SystemCall.ACCEPT,
            SystemCall.SOCKET,
            SystemCall.CONNECT,
            SystemCall.READ,
            SystemCall.WRITE,
            SystemCall.EPOLL_WAIT
        };
        SystemCall call = calls[random.nextInt(calls.length)];
        int every = 1 + random.nextInt(4);
        note("  " + call + ", each " + every);
        if (call == SystemCall.READ || call == SystemCall.WRITE) {
            faults.shorten(call, every);
        } else {
            Errno error = errno(call, random);
            // The JDK tries again at once after these two: without an end, the thread would never
            // come back.
            boolean triedAgain = error == Errno.EINTR || error == Errno.ECONNABORTED;
            faults.fail(call, error, triedAgain ? every + 1 : every);
        }
        after(SHORT_FAULT_MILLIS, () -> faults.heal(call));
    }

    private static Errno errno(SystemCall call, Random random) {
        List<Errno> errors =
                switch (call) {
                    case ACCEPT ->
                            List.of(
                                    Errno.EMFILE,
                                    Errno.ENFILE,
                                    Errno.ECONNABORTED,
                                    Errno.ENOBUFS,
                                    Errno.ENOMEM);
                    case SOCKET -> List.of(Errno.EMFILE, Errno.ENFILE, Errno.ENOBUFS, Errno.ENOMEM);
                    case CONNECT ->
                            List.of(
                                    Errno.EADDRNOTAVAIL,
                                    Errno.ENETUNREACH,
                                    Errno.ETIMEDOUT,
                                    Errno.EHOSTUNREACH);
                    default -> List.of(Errno.EINTR);
                };
        return errors.get(random.nextInt(errors.size()));
    }

    private void stepClock(RouterUnit router, Random random) {
        if (router.process.faults() != null) {
            int[] seconds = {-HOUR_SECONDS, -7, -2, 0, 2, 7, HOUR_SECONDS};
            router.process
                    .faults()
                    .stepWallClock(
                            TimeUnit.SECONDS.toNanos(seconds[random.nextInt(seconds.length)]));
        }
    }
}
