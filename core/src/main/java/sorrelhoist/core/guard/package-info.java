/**
 * Checks invariants at run time for sends, repetitions, connection closes and slow start. Guards
 * take no part in ordinary decisions. On a violation a guard counts it by invariant and logs it at
 * a limited rate, and the caller takes the safe action.
 *
 * <p>Each guard keeps its own record of engines and sends; {@link
 * sorrelhoist.core.guard.InvariantMonitor} owns the counts.
 */
package sorrelhoist.core.guard;
