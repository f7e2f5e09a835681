/**
 * Messages between a planner and its routers: the messages of plan.proto as records.
 *
 * <p>Each router has one stream to its planner. The router sends {@link
 * sorrelhoist.protocol.plan.EdgeMessage}, the planner {@link sorrelhoist.protocol.plan.PlanEvent}.
 * The records are immutable and hold no stream state.
 */
package sorrelhoist.protocol.plan;
