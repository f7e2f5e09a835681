/**
 * The members of a fleet: engines as listed by a registry, as tracked by a planner and as known to
 * a router; routers and the slots that divide shared limits among them; and the watch through which
 * a router receives changes.
 *
 * <p>A planner owns a {@link sorrelhoist.core.members.RegistryView}, an {@link
 * sorrelhoist.core.members.EndpointTracker} and {@link sorrelhoist.core.members.ReplicaSlots}. A
 * router owns an {@link sorrelhoist.core.members.EngineTable}, or, on the platform, {@link
 * sorrelhoist.core.members.ProcessStartTimes} and a {@link
 * sorrelhoist.core.members.WatchReconnectPolicy}. Each is used by one thread.
 */
package sorrelhoist.core.members;
