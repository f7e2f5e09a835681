/**
 * The lifecycle of each request within one router, from its arrival to its single final result.
 *
 * <p>{@link sorrelhoist.core.request.Router} is the entry point: its caller reports events (a
 * request arrived, a token was received, an attempt failed, time passed), and it responds with
 * {@link sorrelhoist.core.request.Command}s. {@link sorrelhoist.routing.RoutingPolicy} decides
 * which engine a request is sent to and whether it is rejected or retried; this package executes
 * and tracks those decisions.
 *
 * <p>Ownership of state:
 *
 * <ul>
 *   <li>{@code RequestTable}: the requests and their IDs; {@code RequestState} and {@code Attempt}
 *       hold the state of one request and of one send.
 *   <li>{@code DecisionLoop}: the routing policy and its queue of unprocessed events.
 *   <li>{@code AttemptTracker}: the counts of sends and of their outcomes.
 *   <li>{@code EngineKinds}: the kind of each listed engine.
 *   <li>{@code RequestReservations}: the prefill states and decode slots that requests have
 *       reserved at engines.
 *   <li>{@code RequestAdmission}: whether the router is draining.
 *   <li>{@code StreamTimeouts}: the observed gaps between the tokens of streams.
 *   <li>{@code Router}: the queue of timers, filled by the classes that schedule them; {@code
 *       TimerDispatcher} dispatches those that are due.
 * </ul>
 *
 * <p>The package does no I/O, reads no clock and starts no threads. The caller passes in times as
 * microseconds, and must not call from several threads at once.
 */
package sorrelhoist.core.request;
