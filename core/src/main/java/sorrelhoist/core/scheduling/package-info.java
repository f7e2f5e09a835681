/**
 * Schedules background work alongside requests: priorities, CPU and I/O budgets, deadlines, and a
 * bound on starvation. A {@link sorrelhoist.core.scheduling.BackgroundScheduler} belongs to the
 * thread whose time it divides; the caller runs the work and reports its cost.
 */
package sorrelhoist.core.scheduling;
