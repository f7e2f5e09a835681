/**
 * Tracks and releases what requests have reserved at engines: prefill states and decode slots.
 * {@link sorrelhoist.core.reservation.ReservationTable} owns the reservations; {@link
 * sorrelhoist.core.reservation.EngineActivity} owns the times at which bytes were last received
 * from each engine. No I/O, no clock, no threads; times are microseconds, given by the caller.
 */
package sorrelhoist.core.reservation;
