/**
 * Whether attempts have reached their engines. The write of an attempt's last byte is the word of
 * the local system alone: the engine may be stopped, or the way to it silent. {@link
 * sorrelhoist.core.delivery.AttemptDelivery} owns what is known of one attempt; {@link
 * sorrelhoist.core.delivery.DeliveryMonitor} owns the attempts that nothing confirms yet, and the
 * questions that engines are asked because of them. No I/O, no clock, no threads; times are
 * microseconds, given by the caller.
 */
package sorrelhoist.core.delivery;
