package sorrelhoist.lab.soak;

import java.util.ArrayList;
import java.util.List;
import sorrelhoist.lab.soak.FaultInjector.Injection;

/** Has new connections to workers come up late, while those that are open pass everything on. */
final class ConnectFaults {
    /** What comes up late does so within a second: with the first SYN that is repeated. */
    private static final int MAX_BLOCK_MILLIS = 950;

    private static final int MIN_BLOCK_MILLIS = 50;
    private static final double LATE_SHARE = 0.5;
    private final SoakFleet fleet;
    private final ActionQueue actions;

    ConnectFaults(SoakFleet fleet, ActionQueue actions) {
        this.fleet = fleet;
        this.actions = actions;
    }

    /** Some links of a router let no connection come up for a moment. */
    void delay(Injection fault) throws Exception {
        List<FaultProxy> links = new ArrayList<>();
        for (FaultProxy link : fault.router().links) {
            if (fault.random().nextDouble() < LATE_SHARE) {
                links.add(link);
            }
        }
        int millis = MIN_BLOCK_MILLIS + fault.random().nextInt(MAX_BLOCK_MILLIS - MIN_BLOCK_MILLIS);
        fleet.runOnLoop(() -> links.forEach(FaultProxy::blockConnections));
        actions.schedule(
                millis, () -> fleet.runOnLoop(() -> links.forEach(FaultProxy::unblockConnections)));
    }
}
