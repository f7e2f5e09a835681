package sorrelhoist.planner;

/**
 * A planner's settings, as its settings file holds them: the names of the components are the keys.
 * Times end in Ms, for milliseconds.
 *
 * @param port to listen on; 0 for one that the system picks
 * @param registry the Eureka registry's address
 * @param app the application whose instances are the engines
 * @param edges edges that the deployment is to have
 * @param pollMs the pause between two polls of the registry
 * @param registryTimeoutMs until a fetch has failed
 * @param seatMs the lease of an edge that left on its replica slot
 * @param doubtMs how long it is not believed that half the engines vanished at once
 * @param probeTimeoutMs until a probe has failed
 * @param probesAtOnce probes that may be in flight
 */
public record PlannerSettings(
        int port,
        String registry,
        String app,
        int edges,
        long pollMs,
        long registryTimeoutMs,
        long seatMs,
        long doubtMs,
        long probeTimeoutMs,
        int probesAtOnce) {}
