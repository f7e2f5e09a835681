/**
 * Tracks whether attempts were delivered to their engines. A completed write of the last byte says
 * only that the local system accepted it: the engine may be suspended, or the network path may drop
 * data. {@link sorrelhoist.core.delivery.AttemptDelivery} owns the delivery state of one attempt;
 * {@link sorrelhoist.core.delivery.DeliveryMonitor} owns the unconfirmed attempts and the liveness
 * checks that they require. No I/O, no clock, no threads; times are microseconds, given by the
 * caller.
 */
package sorrelhoist.core.delivery;
