/**
 * Who belongs to the fleet: engines as a registry lists them, as a planner tracks them, and as a
 * router knows them; routers and the slots that divide shared limits among them; and the watch over
 * which a router hears of changes.
 *
 * <p>A planner owns a {@link sorrelhoist.core.members.RegistryView}, an {@link
 * sorrelhoist.core.members.EndpointTracker} and {@link sorrelhoist.core.members.ReplicaSlots}. A
 * router owns an {@link sorrelhoist.core.members.EngineTable}, or, on the platform, {@link
 * sorrelhoist.core.members.ProcessStartTimes} and a {@link
 * sorrelhoist.core.members.WatchReconnectPolicy}. Each is used by one thread.
 */
package sorrelhoist.core.members;
