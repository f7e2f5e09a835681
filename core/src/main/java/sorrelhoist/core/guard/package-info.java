/**
 * Checks at run time that what must never happen does not: one guard each for sending, repeating,
 * closing and starting. A guard decides nothing of the ordinary path. Where it is violated it
 * counts that by name, logs it at a limited rate, and the caller does the safe thing.
 *
 * <p>Each guard owns its own account of engines and sends; {@link
 * sorrelhoist.core.guard.InvariantMonitor} owns the counts.
 */
package sorrelhoist.core.guard;
