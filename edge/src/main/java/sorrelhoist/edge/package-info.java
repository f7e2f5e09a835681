/**
 * The edge, a program that serves clients over the Open Inference Protocol and routes their
 * requests to engines.
 *
 * <p>Threads and state: network threads parse and write messages. Each connection belongs to one of
 * them, and {@link sorrelhoist.edge.Edge} owns the group. A single thread owns the router and its
 * state (the event loop, open requests, attempts in flight, connections to engines, background
 * jobs). Network threads and the router's thread exchange tasks through queues. The stream to the
 * planner belongs to its channel's network thread.
 *
 * <p>Path of a request: {@code InferenceService} accepts a call, {@code RequestParser} parses its
 * message, {@code RouterEventLoop} submits the request to the router, {@code EngineCommandHandler}
 * executes the router's commands as calls to engines, {@code AttemptListener} reports the engines'
 * responses to the router, and {@code RouterCommandHandler} delivers tokens and the result to the
 * client's call.
 */
package sorrelhoist.edge;
