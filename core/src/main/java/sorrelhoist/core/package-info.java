/**
 * What the router decides or remembers beyond the routing policy. Nothing in this package and those
 * below it does I/O, reads a clock or starts a thread: times come in as microseconds, randomness as
 * a seed, and commands go out to whoever carries them out.
 */
package sorrelhoist.core;
