/**
 * A stand-in for an inference engine that speaks the engine gRPC API: it runs prefill and decode in
 * batched steps with bounded slots, queue and memory, and injects faults on command.
 *
 * <p>All state belongs to one {@link sorrelhoist.standin.engine.EngineStandIn} and is confined to
 * its event loop, so that no class here is thread-safe: {@link
 * sorrelhoist.standin.engine.WorkQueue} owns the jobs, {@link
 * sorrelhoist.standin.engine.PrefillStateStore} the prefill states that wait to be fetched, {@link
 * sorrelhoist.standin.engine.SlotReservations} the reserved decode slots, {@link
 * sorrelhoist.standin.engine.PrefixCache} the cached prompt prefixes, and {@link
 * sorrelhoist.standin.engine.InjectedFaults} and {@link
 * sorrelhoist.standin.engine.NetworkPartition} the faults.
 */
package sorrelhoist.standin.engine;
