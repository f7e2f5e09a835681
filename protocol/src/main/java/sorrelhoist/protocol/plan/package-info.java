/**
 * Messages between a planner and its routers: plan.proto as records.
 *
 * <p>One stream joins each router to its planner: the router sends {@link
 * sorrelhoist.protocol.plan.EdgeMessage}, the planner {@link sorrelhoist.protocol.plan.PlanEvent}.
 * The records are immutable and hold no state of the stream.
 */
package sorrelhoist.protocol.plan;
