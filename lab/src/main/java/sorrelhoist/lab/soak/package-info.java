/**
 * A randomized fault soak of platform routers: real processes and sockets, stand-in workers,
 * discovery and clients, overlapping faults drawn from a seed, and an oracle that reads only what
 * clients and workers saw.
 *
 * <p>{@link sorrelhoist.lab.soak.SoakRunner} runs a {@link sorrelhoist.lab.soak.SoakPlan}. A {@code
 * SoakFleet} owns the processes and the stand-ins, which live on the one event loop of its {@code
 * HarnessLoop}; {@code FaultInjector} disturbs them from the main thread. What was seen is in
 * {@code TrafficLog} and {@code FleetTimeline}, and {@code SoakOracle} judges it at the end.
 */
package sorrelhoist.lab.soak;
