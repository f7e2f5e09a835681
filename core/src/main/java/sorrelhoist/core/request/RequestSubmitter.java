package sorrelhoist.core.request;

import sorrelhoist.core.record.DecisionListener;
import sorrelhoist.core.record.RecordEntry;
import sorrelhoist.routing.RoutingEvents.Arrived;

/** Submits requests, and the remainders of broken streams, to the routing policy. */
final class RequestSubmitter {
    private static final int NAME_RADIX = 36;
    private static final int TOKENS_PER_TIMEOUT_STEP = 1000;

    private final RouterSettings settings;
    private final RequestTable requests;
    private final RouterClock clock;
    private final DecisionListener listener;
    private final DecisionLoop decisions;

    RequestSubmitter(
            RouterSettings settings,
            RequestTable requests,
            RouterClock clock,
            DecisionListener listener,
            DecisionLoop decisions) {
        this.settings = settings;
        this.requests = requests;
        this.clock = clock;
        this.listener = listener;
        this.decisions = decisions;
    }

    /** Submits a request under a new routing ID and a new name. */
    void submit(RequestState request) {
        requests.assignRoutingId(request);
        request.name = nameOf(request);
        report(request);
        decisions.submitEvent(arrival(request));
    }

    /**
     * Removes the routing ID of a request whose stream has ended; the policy no longer uses the ID.
     */
    void endRouting(RequestState request) {
        requests.removeRoutingId(request);
    }

    private String nameOf(RequestState request) {
        if (settings.streams().opaqueEvents()) {
            return request.parameters.clientRequestId();
        }
        return settings.identity().name()
                + "."
                + Long.toString(settings.identity().incarnation(), NAME_RADIX)
                + "."
                + Long.toString(request.routingId, NAME_RADIX);
    }

    private void report(RequestState request) {
        if (listener == DecisionListener.NONE) {
            return;
        }
        InferenceRequest parameters = request.parameters;
        listener.onRequestSubmitted(
                new RecordEntry.RequestSubmitted(
                        clock.now(),
                        request.routingId,
                        request.clientId,
                        request.name,
                        parameters.clientRequestId(),
                        0,
                        parameters.timeoutMicros(),
                        request.tokens),
                parameters.prompt());
    }

    private Arrived arrival(RequestState request) {
        InferenceRequest parameters = request.parameters;
        return new Arrived(
                request.routingId,
                parameters.classIndex(),
                parameters.tenantIndex(),
                parameters.session(),
                parameters.sharedPrefix(),
                request.promptTokens(),
                parameters.sharedPrefixTokens(),
                parameters.maxOutputTokens() - request.tokens,
                firstTokenBudgetMicros(request),
                parameters.resumed() || request.tokens > 0);
    }

    private long firstTokenBudgetMicros(RequestState request) {
        int classIndex = request.parameters.classIndex();
        RequestTimeouts timeouts = settings.timeouts();
        long timeout =
                timeouts.firstTokenMicros().get(classIndex)
                        + timeouts.firstTokenPer1000TokensMicros().get(classIndex)
                                * request.promptTokens()
                                / TOKENS_PER_TIMEOUT_STEP;
        return Math.max(0, Math.min(timeout, request.deadline - clock.now()));
    }
}
