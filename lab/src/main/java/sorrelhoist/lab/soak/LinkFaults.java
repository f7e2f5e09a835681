package sorrelhoist.lab.soak;

import java.util.ArrayList;
import java.util.List;
import sorrelhoist.lab.soak.FaultInjector.Injection;
import sorrelhoist.lab.soak.FaultProxy.AfterSilence;

/** Disturbs the links between routers and workers. */
final class LinkFaults {
    private static final double SILENT_SHARE = 0.5;
    private final SoakFleet fleet;
    private final ActionQueue actions;

    LinkFaults(SoakFleet fleet, ActionQueue actions) {
        this.fleet = fleet;
        this.actions = actions;
    }

    /** One link of a router, or half of them, pass nothing on for a while. */
    void silence(Injection fault) throws Exception {
        RouterNode router = fault.router();
        List<FaultProxy> links =
                fault.random().nextBoolean()
                        ? List.copyOf(router.links.subList(0, router.links.size() / 2))
                        : List.of(router.links.get(fault.worker().index));
        AfterSilence after =
                fault.random().nextBoolean() ? AfterSilence.RESET : AfterSilence.DELIVER;
        fleet.runOnLoop(() -> links.forEach(FaultProxy::silence));
        recordFaults(router, links, fault.lastsMillis());
        actions.schedule(
                fault.lastsMillis(),
                () -> fleet.runOnLoop(() -> links.forEach(link -> link.endSilence(after))));
    }

    /**
     * Some connections of a router pass nothing on for a while, and others to the same workers do.
     */
    void silenceConnections(Injection fault) throws Exception {
        RouterNode router = fault.router();
        List<Runnable> ends = new ArrayList<>();
        fleet.runOnLoop(
                () ->
                        router.links.forEach(
                                link ->
                                        ends.add(
                                                link.silenceConnections(
                                                        fault.random(), SILENT_SHARE))));
        recordFaults(router, router.links, fault.lastsMillis());
        actions.schedule(
                fault.lastsMillis(), () -> fleet.runOnLoop(() -> ends.forEach(Runnable::run)));
    }

    private void recordFaults(RouterNode router, List<FaultProxy> links, long millis)
            throws Exception {
        for (WorkerNode worker : fleet.workers) {
            if (links.contains(router.links.get(worker.index))) {
                fleet.runOnLoop(() -> fleet.recordLinkFault(router, worker, millis));
            }
        }
    }

    /** All links of a router are reset. */
    void reset(Injection fault) throws Exception {
        RouterNode router = fault.router();
        fleet.runOnLoop(
                () -> {
                    router.links.forEach(FaultProxy::reset);
                    fleet.workers.forEach(worker -> fleet.recordLinkFault(router, worker, 0));
                });
    }
}
