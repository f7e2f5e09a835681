/**
 * A stand-in for a Eureka registry: Eureka's REST operations in JSON and XML, and faults on
 * command.
 *
 * <p>All state belongs to one {@link sorrelhoist.standin.registry.RegistryStandIn} and is confined
 * to its event loop: {@link sorrelhoist.standin.registry.LeaseTable} owns the leases and their
 * history, {@link sorrelhoist.standin.registry.RegistryFaults} the injected faults, and {@link
 * sorrelhoist.standin.registry.RegistryTrace} what has been published so far.
 */
package sorrelhoist.standin.registry;
