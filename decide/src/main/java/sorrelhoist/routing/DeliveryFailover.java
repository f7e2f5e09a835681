package sorrelhoist.routing;

import java.util.List;
import sorrelhoist.routing.Reason.Kind;
import sorrelhoist.routing.RoutingActions.Cancel;
import sorrelhoist.routing.RoutingEvents.DeliveryUnconfirmed;
import sorrelhoist.routing.RoutingSettings.Role;

/**
 * Decides what follows where nothing shows that an attempt has reached its endpoint: others are
 * preferred to that endpoint for a while, and the request is sent to another one where a repeat is
 * harmless and the budget of retries has one left: where half of a fleet is silent, everything that
 * is sent again would only pile up at the rest. What may not be repeated waits on: the attempt may
 * yet arrive.
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
    private final RetryBudget retries;

    DeliveryFailover(
            RoutingContext context,
            CandidateFilter filter,
            OutcomeRecorder outcomes,
            RetryBudget retries) {
        this.context = context;
        this.filter = filter;
        this.outcomes = outcomes;
        this.retries = retries;
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
                && !retries.isExhausted()
                && (attempt.prefill || isRepeatable(request))
                && hasAlternative(request, attempt);
    }

    /**
     * A keyed decode that reads its prompt by itself may arrive after its window, and have its
     * effect once more then. One that needs a prefilled state finds that gone, unless its endpoint
     * reads the prompt then.
     */
    private boolean isRepeatable(TrackedRequest request) {
        return switch (request.requestClass.idempotency()) {
            case SAFE -> true;
            case KEYED ->
                    request.prefilledAt != null
                            && !context.settings().capabilities().decodersMayPrefill();
            case UNSAFE -> false;
        };
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
