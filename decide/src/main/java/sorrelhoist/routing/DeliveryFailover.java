package sorrelhoist.routing;

import java.util.List;
import sorrelhoist.routing.Reason.Kind;
import sorrelhoist.routing.RoutingActions.Cancel;
import sorrelhoist.routing.RoutingEvents.DeliveryUnconfirmed;
import sorrelhoist.routing.RoutingSettings.Role;

/**
 * Handles attempts that are not confirmed to have reached their endpoint. Other endpoints are
 * preferred to that endpoint for a while. The request is sent to another endpoint if a repeat is
 * harmless and the retry budget permits it: if half of a fleet is silent, unlimited retries would
 * only overload the rest. A request that may not be repeated keeps waiting, as its attempt may yet
 * arrive.
 */
final class DeliveryFailover {
    /**
     * Time for which other endpoints are preferred; about the time in which a stopped or
     * unreachable endpoint is ejected for its failures or recovers.
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

    /** Handles a request whose attempt in flight is not confirmed to have reached its endpoint. */
    void onDeliveryUnconfirmed(TrackedRequest request, DeliveryUnconfirmed event) {
        Attempt attempt = request.attempt;
        attempt.unconfirmed = true;
        attempt.endpoint.avoidedUntil = context.now() + AVOIDANCE_MICROS;
        outcomes.recordUnconfirmed(request, attempt);
        if (mayFailOver(request, attempt)) {
            context.emit(new Cancel(event.id(), event.attempt(), Reason.of(Kind.UNCONFIRMED)));
        }
    }

    private boolean mayFailOver(TrackedRequest request, Attempt attempt) {
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
     * Returns whether a decode may be repeated while its first attempt may still arrive. A decode
     * with an idempotency key whose endpoint does the prefill itself may arrive after the key's
     * window and then take effect a second time. A decode that needs a prefilled state finds that
     * state released by then, unless its endpoint may do the prefill itself.
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

    /**
     * {@return whether the request may be sent to another endpoint although this attempt may still
     * run; always true for a prefill}
     */
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
