/**
 * The life of each request inside one router, from its arrival to its one final result.
 *
 * <p>{@link sorrelhoist.core.request.Router} is the entry: its caller reports what happened (a
 * request arrived, a token came, an attempt failed, time passed), and it answers with {@link
 * sorrelhoist.core.request.Command}s. Which engine a request goes to, and whether it is rejected or
 * retried, is decided by {@link sorrelhoist.routing.RoutingPolicy}; this package tracks what
 * follows from those decisions.
 *
 * <p>Who owns which state:
 *
 * <ul>
 *   <li>{@code RequestTable}: the requests and their numbers; {@code RequestState} and {@code
 *       Attempt} hold one request and one send.
 *   <li>{@code DecisionLoop}: the routing policy and the events that it has not seen yet.
 *   <li>{@code AttemptTracker}: the account of sends and their outcomes.
 *   <li>{@code EngineKinds}: the kind of each listed engine.
 *   <li>{@code RequestReservations}: what requests have reserved at engines.
 *   <li>{@code RequestAdmission}: whether the router is draining.
 *   <li>{@code StreamTimeouts}: the token gaps seen on streams.
 *   <li>{@code Router}: the queue of timers, filled by the classes that schedule them; {@code
 *       TimerDispatcher} tells those that are due where to go.
 * </ul>
 *
 * <p>No I/O, no clock, no threads: times are microseconds given by the caller, and one thread at a
 * time calls.
 */
package sorrelhoist.core.request;
