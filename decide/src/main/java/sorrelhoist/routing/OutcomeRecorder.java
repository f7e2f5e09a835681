package sorrelhoist.routing;

import sorrelhoist.routing.RoutingEvents.AttemptEnded;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.StreamStarted;

/**
 * Learns from the outcomes of attempts: service times, queueing delays, health, cached prefixes and
 * backoffs.
 */
final class OutcomeRecorder {
    /** Note of a rejection that concerns only this request: there was no state to fetch. */
    static final long NO_STATE_TO_FETCH = 1;

    /** Note of a failure: the state was released while the attempt was in flight. */
    static final long STATE_RELEASED = 2;

    /** Minimum time for which an endpoint is avoided for a class and tenant that it rejected. */
    private static final long MIN_BACKOFF_MICROS = 200_000;

    /**
     * Backoff as a multiple of the time that the rejection took, as a slow rejection costs more.
     */
    private static final double BACKOFF_MULTIPLE = 40;

    private static final long MICROS_PER_MILLI = 1000;

    private final RoutingContext context;
    private final PrefixTable prefixes;
    private final ServiceTimes serviceTimes;
    private final QueueingDelays delays;
    private final OutlierDetector outliers;
    private final GossipSender gossip;

    OutcomeRecorder(
            RoutingContext context,
            PrefixTable prefixes,
            ServiceTimes serviceTimes,
            QueueingDelays delays,
            OutlierDetector outliers,
            GossipSender gossip) {
        this.context = context;
        this.prefixes = prefixes;
        this.serviceTimes = serviceTimes;
        this.delays = delays;
        this.outliers = outliers;
        this.gossip = gossip;
    }

    /** Records the first token of an answer. */
    void recordFirstToken(TrackedRequest request, Attempt attempt, StreamStarted event) {
        double ratio = serviceTimes.learnFirstToken(request.promptTokens(), event.tookMicros());
        outliers.recordSuccess(attempt.endpoint, ratio);
        attempt.endpoint.avoidedUntil = 0;
        Endpoint source = request.prefilledAt == null ? attempt.endpoint : request.prefilledAt;
        delays.recordAnswer(request, attempt, source.cell, event.tookMicros());
        attempt.endpoint.inFlight.answered(request.id);
    }

    /** Records the outcome of an attempt. */
    void recordOutcome(TrackedRequest request, Attempt attempt, AttemptEnded event) {
        switch (event.outcome()) {
            case READ -> recordPrefill(request, attempt, event);
            case DONE -> {
                long maxTokens = request.arrival.maxTokens();
                outliers.recordSuccess(
                        attempt.endpoint, serviceTimes.learnAnswer(maxTokens, event.tookMicros()));
            }
            case FULL -> recordRejection(request, attempt, event);
            case ERROR, TIMED_OUT, RESET, CONNECT_FAILED -> recordFailure(request, attempt, event);
            case CANCELLED, SKIPPED -> {
                // These outcomes do not indicate anything about the endpoint.
            }
        }
    }

    private void recordPrefill(TrackedRequest request, Attempt attempt, AttemptEnded event) {
        Endpoint endpoint = attempt.endpoint;
        long now = context.now();
        long missed = Math.max(0, request.promptTokens() - event.note());
        outliers.recordSuccess(
                endpoint, serviceTimes.learnPrefill(endpoint, missed, event.tookMicros()));
        delays.recordAnswer(request, attempt, endpoint.cell, event.tookMicros());
        endpoint.avoidedUntil = 0;
        long begunAt = Math.max(attempt.sentAt, endpoint.lastPrefillAt);
        serviceTimes.learnPrefillInterval(endpoint, missed, now - begunAt);
        endpoint.lastPrefillAt = now;
        prefixes.addHolder(request, endpoint);
    }

    private void recordRejection(TrackedRequest request, Attempt attempt, AttemptEnded event) {
        if (event.note() == NO_STATE_TO_FETCH) {
            return; // The endpoint may have capacity for other requests.
        }
        int key = request.classTenantKey();
        long backoff = (long) Math.max(MIN_BACKOFF_MICROS, BACKOFF_MULTIPLE * event.tookMicros());
        attempt.endpoint.backoffUntil.put(key, context.now() + backoff);
        gossip.publish(attempt.endpoint, GossipCodec.FULL, key, backoff / MICROS_PER_MILLI);
    }

    /**
     * Records that an attempt is not confirmed to have reached its endpoint. This counts as one
     * failure. If the attempt fails later, that is not counted again; if the endpoint answers, the
     * answer is recorded as usual.
     */
    void recordUnconfirmed(TrackedRequest request, Attempt attempt) {
        recordFailure(attempt.endpoint);
        if (attempt.prefill) {
            prefixes.removeHolder(request, attempt.endpoint);
        }
    }

    private void recordFailure(Endpoint endpoint) {
        gossip.publish(endpoint, GossipCodec.FAILED, 0, context.settings().zone());
        outliers.recordFailure(endpoint);
    }

    private void recordFailure(TrackedRequest request, Attempt attempt, AttemptEnded event) {
        Endpoint endpoint = attempt.endpoint;
        if (attempt.unconfirmed) {
            return;
        }
        if (event.outcome() == Outcome.CONNECT_FAILED) {
            gossip.publish(endpoint, GossipCodec.UNREACHABLE, 0, context.settings().zone());
            outliers.recordUnreachable(endpoint);
        } else {
            recordFailure(endpoint);
        }
        if (event.outcome() == Outcome.TIMED_OUT
                && endpoint.inFlight.isNewerThanAnswered(attempt)) {
            learnTimeout(request, attempt, event.tookMicros());
        }
        if (attempt.prefill) {
            prefixes.removeHolder(request, endpoint);
        }
    }

    /** Learns from a timeout: the attempt takes at least that long. */
    private void learnTimeout(TrackedRequest request, Attempt attempt, long tookMicros) {
        if (attempt.prefill) {
            serviceTimes.learnPrefill(attempt.endpoint, attempt.missedTokens, tookMicros);
        } else {
            serviceTimes.learnFirstToken(request.promptTokens(), tookMicros);
        }
    }
}
