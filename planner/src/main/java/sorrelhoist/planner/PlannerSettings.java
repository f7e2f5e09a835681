package sorrelhoist.planner;

/**
 * A planner's settings. The names of the components are the keys of the settings file; a name that
 * ends in Ms is a time in milliseconds.
 *
 * @param port the port to listen on; 0 for one that the operating system picks
 * @param registry the Eureka registry's address
 * @param app the application whose instances are the engines
 * @param edges the number of edges that the deployment is to have
 * @param pollMs the pause between the answer to a poll of the registry and the next poll
 * @param registryTimeoutMs the timeout of a request to the registry
 * @param seatMs the lease during which an edge that left keeps its replica slot
 * @param doubtMs the grace time before engines are removed if half of the engines or more (at least
 *     two) vanish from the registry at once
 * @param probeTimeoutMs the timeout of a probe
 * @param probesAtOnce the maximum number of probes in flight
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
