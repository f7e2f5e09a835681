package sorrelhoist.lab.soak;

import java.util.List;
import sorrelhoist.lab.soak.FaultInjector.Injection;

/** Disturbs the links between routers and workers. */
final class LinkFaults {
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
        fleet.runOnLoop(() -> links.forEach(link -> link.setSilent(true)));
        for (WorkerNode worker : fleet.workers) {
            if (links.contains(router.links.get(worker.index))) {
                fleet.runOnLoop(() -> fleet.recordLinkFault(router, worker, fault.lastsMillis()));
            }
        }
        actions.schedule(
                fault.lastsMillis(),
                () -> fleet.runOnLoop(() -> links.forEach(link -> link.setSilent(false))));
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
