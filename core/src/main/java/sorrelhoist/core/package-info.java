/**
 * The logic and the state of the router beyond the routing policy. Nothing in this package or its
 * subpackages does I/O, reads a clock or starts a thread: the caller passes in times as
 * microseconds and a seed for randomness, and executes the commands that it receives.
 */
package sorrelhoist.core;
