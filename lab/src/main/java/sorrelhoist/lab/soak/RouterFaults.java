package sorrelhoist.lab.soak;

import java.util.concurrent.TimeUnit;
import sorrelhoist.lab.soak.FaultInjector.Injection;
import sorrelhoist.lab.soak.FleetTimeline.RouterIncarnation;

/** Ends, pauses and reloads router processes. */
final class RouterFaults {
    /** After which the front takes a router that was told to end out of rotation. */
    private static final long FRONT_DELAY_MILLIS = 300;

    /** SIGKILL comes so long after SIGTERM, and the longest deadline more, but for its excess. */
    private static final long KILL_AFTER_TERM_MILLIS = 700;

    private static final long COUNTED_DEADLINE_MILLIS = 3000;
    private static final int MAX_SIGNAL_GAP_MILLIS = 700;

    private static final long END_POLL_MILLIS = 20;
    private static final long RESTART_DELAY_MILLIS = 500;
    private static final int MIN_PAUSE_MILLIS = 20;
    private static final int MAX_PAUSE_MILLIS = 140;
    private static final int MAX_SECOND_RELOAD_MILLIS = 30;
    private final SoakFleet fleet;
    private final ActionQueue actions;

    RouterFaults(SoakFleet fleet, ActionQueue actions) {
        this.fleet = fleet;
        this.actions = actions;
    }

    /** Ends a router as the platform does, and starts it again. */
    void terminate(Injection fault) throws Exception {
        terminate(fault.router());
    }

    /**
     * Signals in a row: SIGTERM, SIGHUP and SIGTERM again at one router, and meanwhile its
     * neighbour is killed or ended as well.
     */
    void terminateSeries(Injection fault) throws Exception {
        RouterNode router = fault.router();
        if (router.restarting || !router.process.isAlive()) {
            return;
        }
        terminate(router);
        long gap = fault.random().nextInt(MAX_SIGNAL_GAP_MILLIS);
        RouterIncarnation ending = router.currentIncarnation();
        actions.schedule(gap, () -> signalIfAlive(router, ending, "HUP"));
        actions.schedule(2 * gap, () -> signalIfAlive(router, ending, "TERM"));
        RouterNode neighbour = fleet.routers.get((router.number() + 1) % fleet.routers.size());
        boolean killed = fault.random().nextBoolean();
        actions.schedule(
                gap,
                () -> {
                    if (killed) {
                        kill(neighbour);
                    } else {
                        terminate(neighbour);
                    }
                });
    }

    /** Signals a process, but not the one that has taken its place. */
    private static void signalIfAlive(
            RouterNode router, RouterIncarnation incarnation, String signal) throws Exception {
        if (router.currentIncarnation() == incarnation && router.process.isAlive()) {
            router.process.signal(signal);
        }
    }

    private void terminate(RouterNode router) throws Exception {
        if (router.restarting || !router.process.isAlive()) {
            return;
        }
        router.restarting = true;
        router.currentIncarnation().terminatedAt = System.nanoTime();
        router.process.signal("TERM");
        actions.schedule(FRONT_DELAY_MILLIS, () -> router.inRotation = false);
        long deadline = Math.min(COUNTED_DEADLINE_MILLIS, fleet.rules.longestDeadlineMillis());
        long killAfter = deadline + KILL_AFTER_TERM_MILLIS;
        long killAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(killAfter);
        restartOnceEnded(router, killAt);
    }

    private void restartOnceEnded(RouterNode router, long killAt) {
        actions.schedule(
                END_POLL_MILLIS,
                () -> {
                    router.refreshState();
                    if (router.process.isAlive() && System.nanoTime() < killAt) {
                        restartOnceEnded(router, killAt);
                        return;
                    }
                    if (router.process.isAlive()) {
                        killProcess(router);
                    }
                    restart(router);
                });
    }

    /** Kills a router outright, and starts it again. */
    void kill(Injection fault) throws Exception {
        kill(fault.router());
    }

    private void kill(RouterNode router) throws Exception {
        if (router.restarting || !router.process.isAlive()) {
            return;
        }
        router.restarting = true;
        router.inRotation = false;
        killProcess(router);
        actions.schedule(RESTART_DELAY_MILLIS, () -> restart(router));
    }

    private static void killProcess(RouterNode router) throws Exception {
        router.currentIncarnation().killedAt = System.nanoTime();
        router.process.kill();
        router.refreshState();
    }

    private static void restart(RouterNode router) throws Exception {
        router.start();
        router.restarting = false;
    }

    /** Stops a router's process for a moment. */
    void pause(Injection fault) throws Exception {
        int spread = MAX_PAUSE_MILLIS - MIN_PAUSE_MILLIS;
        long millis = (long) MIN_PAUSE_MILLIS + fault.random().nextInt(spread);
        fault.router().process.signal("STOP");
        Thread.sleep(millis);
        fault.router().process.signal("CONT");
    }

    /** Has a router read a changed configuration. */
    void reload(Injection fault) throws Exception {
        RouterNode router = fault.router();
        boolean ready = router.currentIncarnation().readyAt != RequestTrace.NEVER;
        if (router.restarting || !ready || !router.process.isAlive()) {
            return;
        }
        router.switchDiscoveryAgent();
        router.process.signal("HUP");
    }

    /** Has a router read a changed configuration, and at once another. */
    void reloadTwice(Injection fault) throws Exception {
        reload(fault);
        long millis = fault.random().nextInt(MAX_SECOND_RELOAD_MILLIS);
        actions.schedule(millis, () -> reload(fault));
    }
}
