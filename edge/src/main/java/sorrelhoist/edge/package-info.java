/**
 * The edge, a program that serves clients over the Open Inference Protocol: it holds their streams
 * and routes their requests to engines.
 *
 * <p>Threads and state: network threads parse and write, each connection on one of them ({@link
 * sorrelhoist.edge.Edge} owns the group). One thread owns the router and all that it decides upon
 * (the event loop, open requests, attempts in flight, connections to engines, background jobs).
 * Tasks cross by queues in both directions. The stream to the planner belongs to its channel's
 * network thread.
 *
 * <p>The way of a request: {@code InferenceService} accepts a call, {@code RequestParser} turns its
 * message into a request, {@code RouterEventLoop} submits it to the router, {@code
 * EngineCommandHandler} carries out the router's commands as calls to engines, whose answers {@code
 * AttemptListener} reports back, and {@code RouterCommandHandler} delivers tokens and the result to
 * the call.
 */
package sorrelhoist.edge;
