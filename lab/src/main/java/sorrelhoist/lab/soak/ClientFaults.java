package sorrelhoist.lab.soak;

import java.util.concurrent.TimeUnit;
import sorrelhoist.lab.soak.FaultInjector.Injection;

/** Has clients flood routers with connections, requests and large bodies. */
final class ClientFaults {
    /** After the end of a flood, its connections stay open this long at most. */
    private static final long FLOOD_END_MILLIS = 2500;

    private static final double BURST_FACTOR = 2;
    private static final double LARGE_BODY_SHARE = 0.3;
    private final SoakFleet fleet;
    private final ActionQueue actions;

    ClientFaults(SoakFleet fleet, ActionQueue actions) {
        this.fleet = fleet;
        this.actions = actions;
    }

    /** Connections on which nothing is sent. */
    void openIdleConnections(Injection fault) throws Exception {
        int connections = 150 + fault.random().nextInt(200);
        RouterNode router = fault.router();
        flood(fault, () -> fleet.clients.openIdleConnections(router, connections));
    }

    /** Connections on which half a request is sent, or what is none. */
    void openMalformedConnections(Injection fault) throws Exception {
        int connections = 10 + fault.random().nextInt(40);
        RouterNode router = fault.router();
        flood(fault, () -> fleet.clients.openMalformedConnections(router, connections));
    }

    private void flood(Injection fault, Runnable open) throws Exception {
        if (!fault.router().inRotation) {
            return;
        }
        long now = System.nanoTime();
        long millis = fault.lastsMillis() + FLOOD_END_MILLIS;
        fleet.runOnLoop(
                () -> {
                    fleet.timeline.recordConnectionFlood(
                            now, now + TimeUnit.MILLISECONDS.toNanos(millis));
                    open.run();
                });
    }

    /** Twice as many requests for a while. */
    void burst(Injection fault) throws Exception {
        fleet.runOnLoop(() -> fleet.clients.multiplyRate(BURST_FACTOR));
        actions.schedule(
                fault.lastsMillis(),
                () -> fleet.runOnLoop(() -> fleet.clients.multiplyRate(1 / BURST_FACTOR)));
    }

    /** A part of the requests carries content near the protocol's limit for a while. */
    void sendLargeBodies(Injection fault) throws Exception {
        fleet.runOnLoop(() -> fleet.clients.setLargeBodyShare(LARGE_BODY_SHARE));
        actions.schedule(
                fault.lastsMillis(),
                () -> fleet.runOnLoop(() -> fleet.clients.setLargeBodyShare(0)));
    }
}
