/**
 * The planner, a program that reads the service registry and tells the edges what they need: the
 * endpoint list, their replica slots and each other's addresses. It probes engines for them, and
 * relays their messages.
 *
 * <p>All state belongs to one event loop: {@link sorrelhoist.planner.Planner} owns the endpoint
 * list and the replica slots, {@code EdgeSessions} the streams to edges, {@code RegistryPoller} the
 * polling of the registry, {@code EngineProber} the probes. What the lists and slots mean is
 * decided in {@code core.members}.
 */
package sorrelhoist.planner;
