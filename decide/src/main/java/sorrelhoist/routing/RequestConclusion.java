package sorrelhoist.routing;

import sorrelhoist.routing.RoutingActions.Cancel;
import sorrelhoist.routing.RoutingActions.Fail;
import sorrelhoist.routing.RoutingActions.Refuse;
import sorrelhoist.routing.RoutingActions.Release;
import sorrelhoist.routing.RoutingSettings.Capabilities;

/** Ends requests: sends final answers, cancels attempts in flight and releases reservations. */
final class RequestConclusion {
    /** Minimum backoff hint for clients; a random time up to the same length is added. */
    private static final long BACKOFF_MICROS = 300_000;

    private final RoutingContext context;
    private final RequestTable requests;

    RequestConclusion(RoutingContext context, RequestTable requests) {
        this.context = context;
        this.requests = requests;
    }

    /**
     * Sends the final answer at once: a rejection, or a failure if a retry by the client might not
     * be harmless. A rejection carries a Retry-After hint if the settings permit hints.
     */
    void giveUp(TrackedRequest request, Reason reason) {
        Capabilities capabilities = context.settings().capabilities();
        long jitter = context.random().nextLong(BACKOFF_MICROS);
        long backoff = Math.min(capabilities.maxBackoffMicros(), BACKOFF_MICROS + jitter);
        long hint = capabilities.backoffHints() ? backoff : 0;
        context.emit(
                IdempotencyGuard.mayReject(request)
                        ? new Refuse(request.id, hint, reason)
                        : new Fail(request.id, reason));
        conclude(request, reason);
    }

    /**
     * Marks a request as answered and finishes it if no attempt is in flight. Otherwise cancels the
     * attempt, if cancellation is permitted and the answer is not streaming yet.
     */
    void conclude(TrackedRequest request, Reason reason) {
        request.answered = true;
        requests.settle(request);
        if (request.attempt == null) {
            finish(request);
        } else if (context.settings().capabilities().cancel() && !request.streaming) {
            context.emit(new Cancel(request.id, request.attempt.number, reason));
        }
    }

    /** Removes a request and releases its reservations, however the request ended. */
    void finish(TrackedRequest request) {
        requests.remove(request);
        if (request.attempts > 0 && !request.streaming) {
            context.emit(new Release(request.id));
        }
    }
}
