package sorrelhoist.routing;

import java.util.HashSet;
import java.util.Set;
import sorrelhoist.routing.RoutingEvents.Arrived;
import sorrelhoist.routing.RoutingSettings.RequestClass;

/**
 * One request from its arrival until it is answered and has no attempt in flight. {@link
 * RequestLifecycle} owns it.
 */
final class TrackedRequest {
    private static final int TENANTS_PER_CLASS = 1000;

    final long id;
    final Arrived arrival;
    final RequestClass requestClass;
    final long arrivedAt;
    final long deadline;

    /**
     * Latency objective: the time to the first token that earns the full weight, in microseconds.
     */
    final double latencyObjective;

    final Set<Endpoint> failedEndpoints = new HashSet<>();
    int attempts;

    /** The attempt in flight, or null. */
    Attempt attempt;

    /** The endpoint that has prefilled the prompt and keeps its state, or null. */
    Endpoint prefilledAt;

    /** Time since which the state has been kept unused, in microseconds. */
    long stateIdleSince;

    boolean answered;
    boolean streaming;
    boolean settled;

    /** Whether the last endpoint rejected the request as full. */
    boolean rejected;

    /** The first endpoint at which the request may have run and taken effect, or null. */
    Endpoint mayHaveRunAt;

    /** Time at which the request was sent to {@link #mayHaveRunAt}, in microseconds. */
    long mayHaveRunSince;

    TrackedRequest(Arrived arrival, RequestClass requestClass, long now) {
        this.id = arrival.id();
        this.arrival = arrival;
        this.requestClass = requestClass;
        this.arrivedAt = now;
        this.stateIdleSince = now;
        this.deadline = now + arrival.budgetMicros();
        this.latencyObjective =
                requestClass.latencyObjectiveMicros()
                        + requestClass.latencyObjectivePer1000TokensMicros()
                                * arrival.promptTokens()
                                / 1000.0;
    }

    /** {@return a number that identifies a pair of class and tenant} */
    static int classTenantKey(int requestClass, int tenant) {
        return requestClass * TENANTS_PER_CLASS + tenant;
    }

    /** {@return the key of the request's class and tenant, for the backoffs of endpoints} */
    int classTenantKey() {
        return classTenantKey(arrival.cls(), arrival.tenant());
    }

    String session() {
        return arrival.session();
    }

    String prefix() {
        return arrival.prefix();
    }

    /**
     * {@return the tie-break key, which is equal for all requests and attempts of a session at all
     * routers}
     */
    String tieBreakKey() {
        return arrival.session() != null ? arrival.session() : "" + arrival.id();
    }

    long promptTokens() {
        return arrival.promptTokens();
    }

    boolean isInFlight(int attemptNumber) {
        return attempt != null && attempt.number == attemptNumber;
    }

    /** {@return whether the request waits for its next attempt} */
    boolean isWaiting() {
        return attempt == null && !answered;
    }
}
