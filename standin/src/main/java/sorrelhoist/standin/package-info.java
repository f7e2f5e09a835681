/**
 * What the stand-ins have in common: the trace that the lab's judge reads, and the commands by
 * which faults are injected. Each stand-in owns its own trace; nothing here is shared between them.
 */
package sorrelhoist.standin;
