/**
 * The planner, a program that reads the service registry and sends the edges the endpoint list,
 * their replica slots and each other's addresses. It also probes engines on behalf of edges, and
 * relays edges' messages to each other.
 *
 * <p>All state belongs to one event loop: {@link sorrelhoist.planner.Planner} owns the endpoint
 * list and the replica slots, {@code EdgeSessions} the streams to edges, {@code RegistryPoller} the
 * polling of the registry, {@code EngineProber} the probes. The rules for endpoint lists and
 * replica slots are in {@code core.members}.
 */
package sorrelhoist.planner;
