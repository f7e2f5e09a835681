package sorrelhoist.lab.soak;

import java.util.List;
import java.util.Random;

/**
 * Carries a schedule out on a fleet: begins each fault at its time and ends it again. On the
 * harness's main thread.
 */
final class FaultInjector {
    private static final long POLL_MILLIS = 20;
    private final SoakFleet fleet;
    private final ActionQueue actions = new ActionQueue();
    private final FaultLog log;
    private final RouterFaults routerFaults;
    private final SystemFaults systemFaults;
    private final DiscoveryFaults discoveryFaults;
    private final WorkerFaults workerFaults;
    private final LinkFaults linkFaults;
    private final ConnectFaults connectFaults;
    private final ClientFaults clientFaults;

    /**
     * A fault that begins, with what it may befall.
     *
     * @param scheduled its entry in the schedule
     * @param router the router that it befalls, if it befalls one
     * @param worker the worker that it befalls, if it befalls one
     * @param random draws what else there is to choose
     */
    record Injection(
            ScheduledFault scheduled, RouterNode router, WorkerNode worker, Random random) {
        long lastsMillis() {
            return scheduled.lastsMillis();
        }
    }

    FaultInjector(SoakFleet fleet, List<ScheduledFault> faults) {
        this.fleet = fleet;
        log = new FaultLog(fleet.plan.folder(), fleet.timeline);
        routerFaults = new RouterFaults(fleet, actions);
        systemFaults = new SystemFaults(actions, log);
        discoveryFaults = new DiscoveryFaults(fleet, actions);
        workerFaults = new WorkerFaults(fleet, actions);
        linkFaults = new LinkFaults(fleet, actions);
        connectFaults = new ConnectFaults(fleet, actions);
        clientFaults = new ClientFaults(fleet, actions);
        for (ScheduledFault fault : faults) {
            actions.schedule(fault.atMillis(), () -> begin(fault));
        }
    }

    /** Does what is due until the time is up, and follows the processes meanwhile. */
    void run(long untilNanos) throws Exception {
        while (System.nanoTime() < untilNanos) {
            actions.runDue();
            for (RouterNode router : fleet.routers) {
                router.refreshState();
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    private void begin(ScheduledFault fault) throws Exception {
        Random random = new Random(fault.seed());
        RouterNode router = fleet.routers.get(random.nextInt(fleet.routers.size()));
        WorkerNode worker = fleet.workers.get(random.nextInt(fleet.workers.size()));
        log.write(fault + " router " + router.number() + " worker " + worker.standIn.uid);
        inject(new Injection(fault, router, worker, random));
    }

    private void inject(Injection fault) throws Exception {
        switch (fault.scheduled().kind()) {
            case ROUTER_TERM -> routerFaults.terminate(fault);
            case ROUTER_KILL -> routerFaults.kill(fault);
            case ROUTER_PAUSE -> routerFaults.pause(fault);
            case ROUTER_RELOAD -> routerFaults.reload(fault);
            case ROUTER_RELOAD_TWICE -> routerFaults.reloadTwice(fault);
            case DISCOVERY_SILENT -> discoveryFaults.silence(fault);
            case DISCOVERY_DOWN -> discoveryFaults.stop(fault);
            case DISCOVERY_RENUMBERED -> discoveryFaults.restartVersionCount(fault);
            case DISCOVERY_SLOW -> discoveryFaults.slowDown(fault);
            case WATCHES_MUTED -> discoveryFaults.muteAllWatches();
            case WORKER_KILLED -> workerFaults.killAndReplace(fault);
            case WORKER_HANGS -> workerFaults.hang(fault);
            case WORKER_DRAINS -> workerFaults.drainAndReplace(fault);
            case WORKER_MISBEHAVES -> workerFaults.misbehave(fault);
            case LINK_SILENT -> linkFaults.silence(fault);
            case CONNECTIONS_SILENT -> linkFaults.silenceConnections(fault);
            case ROUTER_TERM_SERIES -> routerFaults.terminateSeries(fault);
            case CONNECTIONS_LATE -> connectFaults.delay(fault);
            case LINK_RESET -> linkFaults.reset(fault);
            case CLIENTS_IDLE_CROWD -> clientFaults.openIdleConnections(fault);
            case CLIENTS_BAD_CROWD -> clientFaults.openMalformedConnections(fault);
            case CLIENTS_BURST -> clientFaults.burst(fault);
            case CLIENTS_LARGE -> clientFaults.sendLargeBodies(fault);
            case SYSTEM_CALLS_FAIL -> systemFaults.failCalls(fault);
            case WALL_CLOCK_STEPS -> systemFaults.stepWallClock(fault);
            default -> throw new IllegalStateException("unknown fault " + fault.scheduled().kind());
        }
    }
}
