/**
 * Timers and retry delays. Times are given by the caller, in microseconds; no clock is read here.
 * The creator of a queue or a backoff owns its state.
 */
package sorrelhoist.core.time;
