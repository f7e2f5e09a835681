package sorrelhoist.lab.soak;

import java.util.List;
import sorrelhoist.lab.soak.FaultInjector.Injection;

/** Disturbs the discovery agents beside the routers. */
final class DiscoveryFaults {
    private final SoakFleet fleet;
    private final ActionQueue actions;

    DiscoveryFaults(SoakFleet fleet, ActionQueue actions) {
        this.fleet = fleet;
        this.actions = actions;
    }

    /** Has a router's agent send nothing for a while. */
    void silence(Injection fault) throws Exception {
        DiscoveryStandIn agent = fault.router().discoveryAgent();
        fleet.runOnLoop(() -> agent.setSilent(true));
        actions.schedule(fault.lastsMillis(), () -> fleet.runOnLoop(() -> agent.setSilent(false)));
    }

    /** Has a router's agent be down for a while. */
    void stop(Injection fault) throws Exception {
        DiscoveryStandIn agent = fault.router().discoveryAgent();
        fleet.runOnLoop(agent::stop);
        actions.schedule(fault.lastsMillis(), agent::start);
    }

    /** Has a router's agent count its versions from the start again. */
    void restartVersionCount(Injection fault) throws Exception {
        fleet.runOnLoop(() -> fault.router().discoveryAgent().restartVersionCount());
    }

    /** Has a router's agent write whole lists slowly for a while. */
    void slowDown(Injection fault) throws Exception {
        RouterNode router = fault.router();
        fleet.runOnLoop(() -> router.discoveryAgent().setSlow(true));
        actions.schedule(
                fault.lastsMillis(),
                () ->
                        fleet.runOnLoop(
                                () ->
                                        List.of(router.discoveryAgents)
                                                .forEach(agent -> agent.setSlow(false))));
    }

    /** Has no agent send anything to the watches that are open now. */
    void muteAllWatches() throws Exception {
        fleet.runOnLoop(
                () -> fleet.routers.forEach(router -> router.discoveryAgent().muteOpenWatches()));
    }
}
