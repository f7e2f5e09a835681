package sorrelhoist.routing;

import sorrelhoist.routing.RoutingActions.Cancel;
import sorrelhoist.routing.RoutingActions.Fail;
import sorrelhoist.routing.RoutingActions.Refuse;
import sorrelhoist.routing.RoutingActions.Release;
import sorrelhoist.routing.RoutingSettings.Capabilities;

/** Ends requests: final answers, cancellation of what is in flight, release of what is reserved. */
final class RequestConclusion {
    /** Clients stay away that long, and a random part of it more. */
    private static final long BACKOFF_MICROS = 300_000;

    private final RoutingContext context;
    private final RequestTable requests;

    RequestConclusion(RoutingContext context, RequestTable requests) {
        this.context = context;
        this.requests = requests;
    }

    /** Sends the final answer at once, with a hint when to come back where clients heed one. */
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

    /** Nothing more is owed to the client: what is in flight for it ends, but not a stream. */
    void conclude(TrackedRequest request, Reason reason) {
        request.answered = true;
        requests.settle(request);
        if (request.attempt == null) {
            finish(request);
        } else if (context.settings().capabilities().cancel() && !request.streaming) {
            context.emit(new Cancel(request.id, request.attempt.number, reason));
        }
    }

    /** Forgets a request; nothing stays reserved, however it ended. */
    void finish(TrackedRequest request) {
        requests.remove(request);
        if (request.attempts > 0 && !request.streaming) {
            context.emit(new Release(request.id));
        }
    }
}
