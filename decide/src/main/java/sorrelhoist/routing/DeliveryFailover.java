package sorrelhoist.routing;

import java.util.List;
import sorrelhoist.routing.Reason.Kind;
import sorrelhoist.routing.RoutingActions.Cancel;
import sorrelhoist.routing.RoutingEvents.DeliveryUnconfirmed;
import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.Role;

/**
 * Decides what follows where nothing shows that an attempt has reached its endpoint: others are
 * preferred to that endpoint for a while, and the request is sent to another one where a repeat is
 * harmless. What may not be repeated waits on: the attempt may yet arrive.
 */
final class DeliveryFailover {
    /**
     * How long others are preferred. About what a stopped or unreachable endpoint needs to be
     * ejected by its failures, or to come back.
     */
    private static final long AVOIDANCE_MICROS = 1_000_000;

    private final RoutingContext context;
    private final CandidateFilter filter;
    private final OutcomeRecorder outcomes;

    DeliveryFailover(RoutingContext context, CandidateFilter filter, OutcomeRecorder outcomes) {
        this.context = context;
        this.filter = filter;
        this.outcomes = outcomes;
    }

    /** Nothing shows that a request's attempt in flight has reached its endpoint. */
    void onDeliveryUnconfirmed(TrackedRequest request, DeliveryUnconfirmed event) {
        Attempt attempt = request.attempt;
        attempt.unconfirmed = true;
        attempt.endpoint.avoidedUntil = context.now() + AVOIDANCE_MICROS;
        outcomes.recordUnconfirmed(request, attempt);
        if (mayGoElsewhere(request, attempt)) {
            context.emit(new Cancel(event.id(), event.attempt(), Reason.of(Kind.UNCONFIRMED)));
        }
    }

    private boolean mayGoElsewhere(TrackedRequest request, Attempt attempt) {
        int attemptsNeeded = attempt.prefill ? 2 : 1;
        int attemptsLeft = context.settings().capabilities().maxAttempts() - request.attempts;
        return context.settings().capabilities().cancel()
                && !request.streaming
                && !request.answered
                && attemptsLeft >= attemptsNeeded
                && (attempt.prefill || isRepeatable(request))
                && hasAlternative(request, attempt);
    }

    private static boolean isRepeatable(TrackedRequest request) {
        return request.requestClass.idempotency() != Idempotency.UNSAFE;
    }

    private boolean hasAlternative(TrackedRequest request, Attempt attempt) {
        Role role = attempt.prefill ? Role.READ : Role.WRITE;
        List<Endpoint> candidates = filter.candidates(role, request);
        return candidates.stream()
                .anyMatch(
                        endpoint ->
                                endpoint != attempt.endpoint
                                        && !request.failedEndpoints.contains(endpoint)
                                        && endpoint.avoidedUntil <= context.now()
                                        && mayRepeatAt(request, attempt, endpoint));
    }

    /** {@return whether a decode may run elsewhere although this attempt may yet run} */
    private boolean mayRepeatAt(TrackedRequest request, Attempt attempt, Endpoint endpoint) {
        return attempt.prefill
                || request.mayHaveRunAt != null
                || IdempotencyGuard.mayRepeatAt(
                        request.requestClass,
                        attempt.endpoint,
                        attempt.sentAt,
                        endpoint,
                        context.now());
    }
}
