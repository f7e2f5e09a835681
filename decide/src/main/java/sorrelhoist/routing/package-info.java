/**
 * The decision library. It selects the endpoints for the prefill and the decode of each request and
 * decides on admission, retries, outlier ejection and gossip to other routers. It has no
 * dependencies, does no I/O, reads no clock and starts no threads.
 *
 * <p>{@link sorrelhoist.routing.RoutingPolicy} takes {@link sorrelhoist.routing.RoutingEvents} and
 * returns {@link sorrelhoist.routing.RoutingActions}. It owns one instance of each component per
 * router and dispatches events to them. State is owned as follows:
 *
 * <ul>
 *   <li>{@code EndpointTable}: the endpoint list, the lists of serving endpoints, and cells. Within
 *       an {@code Endpoint}, {@code OutlierDetector} owns the health, {@code AttemptSender} and
 *       {@code RequestLifecycle} own the attempts in flight, and {@code QueueingDelays} owns the
 *       queueing delay, which {@code GossipReceiver} also sets.
 *   <li>{@code PrefixTable}: sessions and prefixes, and the endpoints that likely have them cached.
 *   <li>{@code ServiceTimes}, {@code QueueingDelays}, {@code ArrivalRate}, {@code SlowStart}:
 *       learned service times, queueing delays, arrival rate and endpoint capacities.
 *   <li>{@code RequestTable}: requests. {@code RequestLifecycle}, {@code StageDispatcher} and
 *       {@code RequestConclusion} change their state.
 *   <li>{@code RetryBudget}, {@code TenantQuota}, {@code GossipSender}, {@code LoadProber}:
 *       budgets.
 * </ul>
 *
 * <p>{@code PrefillSelector}, {@code DecodeSelector}, {@code CandidateFilter}, {@code
 * AdmissionController}, {@code CompletionEstimator} and {@code IdempotencyGuard} make decisions and
 * are stateless.
 */
package sorrelhoist.routing;
