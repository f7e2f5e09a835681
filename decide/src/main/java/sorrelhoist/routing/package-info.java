/**
 * The decision library: which endpoint reads a prompt and which writes the answer, what is
 * admitted, retried, ejected and told to other routers. No dependencies, no I/O, no clock, no
 * threads.
 *
 * <p>{@link sorrelhoist.routing.RoutingPolicy} takes {@link sorrelhoist.routing.RoutingEvents} and
 * returns {@link sorrelhoist.routing.RoutingActions}; it dispatches and owns the parts, one
 * instance of each for one router. State is owned as follows:
 *
 * <ul>
 *   <li>{@code EndpointTable}: the endpoint list, serving lists, cells. Of an {@code Endpoint},
 *       {@code OutlierDetector} owns the health, {@code AttemptSender} and {@code RequestLifecycle}
 *       the attempts in flight, {@code QueueingDelays} the delay.
 *   <li>{@code PrefixTable}: sessions and prefixes, and who has them cached.
 *   <li>{@code ServiceTimes}, {@code QueueingDelays}, {@code ArrivalRate}, {@code SlowStart}: what
 *       was learnt of times, delays, arrivals and capacities.
 *   <li>{@code RequestTable}: requests; {@code RequestLifecycle}, {@code StageDispatcher} and
 *       {@code RequestConclusion} move them on.
 *   <li>{@code RetryBudget}, {@code TenantQuota}, {@code GossipSender}, {@code LoadProber}:
 *       budgets.
 * </ul>
 *
 * <p>{@code PrefillSelector}, {@code DecodeSelector}, {@code CandidateFilter}, {@code
 * AdmissionController}, {@code CompletionEstimator} and {@code IdempotencyGuard} decide and keep
 * nothing.
 */
package sorrelhoist.routing;
