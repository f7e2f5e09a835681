/**
 * When background work may run beside requests: priorities, budgets of CPU and bytes, deadlines,
 * and a bound on starvation. {@link sorrelhoist.core.scheduling.BackgroundScheduler} belongs to the
 * thread whose time it shares out; its caller runs the work and reports what it cost.
 */
package sorrelhoist.core.scheduling;
