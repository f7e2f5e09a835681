/**
 * Timers and retry delays in the caller's time, in microseconds: no clock is read here. Whoever
 * creates a queue or a backoff owns its state.
 */
package sorrelhoist.core.time;
