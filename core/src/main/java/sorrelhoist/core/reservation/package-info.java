/**
 * What requests have reserved at engines, and its release: prefill states and decode slots. {@link
 * sorrelhoist.core.reservation.ReservationTable} owns them; {@link
 * sorrelhoist.core.reservation.EngineActivity} owns when engines were last heard. No I/O, no clock,
 * no threads; times are microseconds, given by the caller.
 */
package sorrelhoist.core.reservation;
