package sorrelhoist.routing;

import sorrelhoist.routing.RoutingActions.Send;

/** Sends a request to the selected endpoint and sets the timeout of the attempt. */
final class AttemptSender {
    /**
     * Share of the time until the deadline that an attempt may use, so that another attempt fits.
     */
    private static final double TIMEOUT_SHARE = 0.6;

    /**
     * Minimum timeout as a multiple of the expected time: an endpoint may go on working on an
     * attempt after its timeout.
     */
    private static final double TIMEOUT_MULTIPLE = 4;

    private final RoutingContext context;
    private final PrefixTable prefixes;
    private final ServiceTimes serviceTimes;
    private final QueueingDelays delays;

    AttemptSender(
            RoutingContext context,
            PrefixTable prefixes,
            ServiceTimes serviceTimes,
            QueueingDelays delays) {
        this.context = context;
        this.prefixes = prefixes;
        this.serviceTimes = serviceTimes;
        this.delays = delays;
    }

    /** Sends a request to a prefill endpoint, which only processes the prompt. */
    void sendPrefill(TrackedRequest request, Selection selection) {
        Endpoint endpoint = selection.endpoint();
        long missed = prefixes.missedTokens(endpoint, request);
        double service = serviceTimes.prefillMicros(endpoint, missed);
        double total = service + endpoint.inFlight.awaitedMicros();
        Attempt attempt =
                new Attempt(
                        request.attempts++,
                        endpoint,
                        true,
                        missed,
                        0,
                        context.now(),
                        new Attempt.Estimate(service, total));
        endpoint.history.recordSend(context.now(), service);
        prefixes.addHolder(request, endpoint);
        send(request, attempt, selection, timeout(request, service + delays.ofPrefills()));
    }

    /**
     * Sends a request to the endpoint that decodes its answer. The prefill was done before, or the
     * same endpoint does it.
     */
    void sendDecode(TrackedRequest request, Selection selection) {
        Endpoint endpoint = selection.endpoint();
        long missed = prefixes.missedTokens(endpoint, request);
        double service = serviceTimes.firstTokenMicros(request.promptTokens());
        Attempt attempt =
                new Attempt(
                        request.attempts++,
                        endpoint,
                        false,
                        missed,
                        request.promptTokens() + request.arrival.maxTokens(),
                        context.now(),
                        new Attempt.Estimate(service, service));
        endpoint.history.recordSend(context.now(), 0);
        send(request, attempt, selection, timeout(request, service + delays.ofFirstTokens()));
    }

    private long timeout(TrackedRequest request, double expectedMicros) {
        double share = TIMEOUT_SHARE * (request.deadline - context.now());
        return (long) Math.max(share, TIMEOUT_MULTIPLE * expectedMicros);
    }

    private void send(
            TrackedRequest request, Attempt attempt, Selection selection, long timeoutMicros) {
        long now = context.now();
        request.attempt = attempt;
        attempt.endpoint.inFlight.started(request.id, attempt);
        double expected = now - request.arrivedAt + attempt.estimate.totalMicros();
        Reason reason =
                Reason.chosen(
                        selection.kind(),
                        expected,
                        request.latencyObjective,
                        selection.estimate(),
                        selection.runnerUpId(),
                        selection.runnerUpEstimate());
        long giveUpAt = Math.min(request.deadline, now + timeoutMicros);
        context.emit(new Send(request.id, attempt.endpoint.id, giveUpAt, reason));
    }
}
