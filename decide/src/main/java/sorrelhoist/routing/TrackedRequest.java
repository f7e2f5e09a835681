package sorrelhoist.routing;

import java.util.HashSet;
import java.util.Set;
import sorrelhoist.routing.RoutingEvents.Arrived;
import sorrelhoist.routing.RoutingSettings.RequestClass;

/**
 * One request from its arrival until nothing is owed or in flight; {@link RequestLifecycle} owns
 * it.
 */
final class TrackedRequest {
    private static final int TENANTS_PER_CLASS = 1000;

    final long id;
    final Arrived arrival;
    final RequestClass requestClass;
    final long arrivedAt;
    final long deadline;

    /** Time to the first token that earns the full weight, in microseconds. */
    final double latencyObjective;

    final Set<Endpoint> failedEndpoints = new HashSet<>();
    int attempts;

    /** The attempt in flight, or null. */
    Attempt attempt;

    /** Where the prompt was read and its state waits, or null. */
    Endpoint prefilledAt;

    /** Since when the state waits there. */
    long idleSince;

    boolean answered;
    boolean streaming;
    boolean settled;

    /** Whether the last endpoint rejected it as full. */
    boolean rejected;

    /** The first endpoint that may have run it to an effect, or null. */
    Endpoint mayHaveRunAt;

    /** When it was sent there. */
    long mayHaveRunFrom;

    TrackedRequest(Arrived arrival, RequestClass requestClass, long now) {
        this.id = arrival.id();
        this.arrival = arrival;
        this.requestClass = requestClass;
        this.arrivedAt = now;
        this.idleSince = now;
        this.deadline = now + arrival.budgetMicros();
        this.latencyObjective =
                requestClass.latencyObjectiveMicros()
                        + requestClass.latencyObjectivePer1000TokensMicros()
                                * arrival.promptTokens()
                                / 1000.0;
    }

    /** {@return one number for each pair of class and tenant} */
    static int classTenantKey(int requestClass, int tenant) {
        return requestClass * TENANTS_PER_CLASS + tenant;
    }

    /** {@return the number for which an endpoint may be full} */
    int classTenantKey() {
        return classTenantKey(arrival.cls(), arrival.tenant());
    }

    String session() {
        return arrival.session();
    }

    String prefix() {
        return arrival.prefix();
    }

    /** {@return the key by which all routers and attempts of one conversation break ties alike} */
    String tieBreakKey() {
        return arrival.session() != null ? arrival.session() : "" + arrival.id();
    }

    long promptTokens() {
        return arrival.promptTokens();
    }

    boolean isInFlight(int attemptNumber) {
        return attempt != null && attempt.number == attemptNumber;
    }

    /** {@return whether it waits for its next attempt} */
    boolean isWaiting() {
        return attempt == null && !answered;
    }
}
