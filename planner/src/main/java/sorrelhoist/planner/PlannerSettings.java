package sorrelhoist.planner;

/**
 * What a planner is told at its start.
 *
 * @param port to listen on; 0 for one that the system picks
 * @param registry the Eureka registry's address
 * @param app the application whose instances are the engines
 * @param edges edges that the deployment is to have
 * @param pollMs between fetches of the registry's list
 * @param registryTimeoutMs until a fetch has failed
 * @param seatMs how long an edge that left keeps its number
 * @param doubtMs how long it is doubted that half the engines vanished at once
 * @param probeTimeoutMs until a probe has failed
 * @param probesAtOnce probes that may be out
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
