/**
 * What requests have reserved at engines, and its release: read states and places. No I/O, no
 * clock, no threads; times are microseconds, given by the caller.
 */
package sorrelhoist.core.reservation;
