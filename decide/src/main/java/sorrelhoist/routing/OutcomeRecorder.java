package sorrelhoist.routing;

import sorrelhoist.routing.RoutingEvents.AttemptEnded;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.StreamStarted;

/** Learns from how attempts went: service times, queueing delays, health, caches and backoffs. */
final class OutcomeRecorder {
    /** Note of a rejection that concerns this request alone: its state was not there to fetch. */
    static final long NO_STATE_TO_FETCH = 1;

    /** Note of a failure: the state was released while the attempt was in flight. */
    static final long STATE_RELEASED = 2;

    /** How long an endpoint is left alone by a class and tenant that it rejected, at least. */
    private static final long MIN_BACKOFF_MICROS = 200_000;

    /** The same as a multiple of the time that the rejection took: a slow one is dear. */
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

    /** The first token came. */
    void recordFirstToken(TrackedRequest request, Attempt attempt, StreamStarted event) {
        double ratio = serviceTimes.learnFirstToken(request.promptTokens(), event.tookMicros());
        outliers.recordSuccess(attempt.endpoint, ratio);
        attempt.endpoint.avoidedUntil = 0;
        Endpoint source = request.prefilledAt == null ? attempt.endpoint : request.prefilledAt;
        delays.recordAnswer(request, attempt, source.cell, event.tookMicros());
        attempt.endpoint.inFlight.answered(request.id);
    }

    /** The attempt ended. */
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
                // Says nothing of the endpoint.
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
            return; // For others there may be capacity.
        }
        int key = request.classTenantKey();
        long backoff = (long) Math.max(MIN_BACKOFF_MICROS, BACKOFF_MULTIPLE * event.tookMicros());
        attempt.endpoint.backoffUntil.put(key, context.now() + backoff);
        gossip.tell(attempt.endpoint, GossipCodec.FULL, key, backoff / MICROS_PER_MILLI);
    }

    /**
     * Nothing shows that an attempt has reached its endpoint. That is recorded once: what becomes
     * of the attempt says nothing more of the endpoint, unless it answers.
     */
    void recordUnconfirmed(TrackedRequest request, Attempt attempt) {
        recordFailure(attempt.endpoint);
        if (attempt.prefill) {
            prefixes.removeHolder(request, attempt.endpoint);
        }
    }

    private void recordFailure(Endpoint endpoint) {
        gossip.tell(endpoint, GossipCodec.FAILED, 0, context.settings().zone());
        outliers.recordFailure(endpoint);
    }

    private void recordFailure(TrackedRequest request, Attempt attempt, AttemptEnded event) {
        Endpoint endpoint = attempt.endpoint;
        if (attempt.unconfirmed) {
            return;
        }
        if (event.outcome() == Outcome.CONNECT_FAILED) {
            gossip.tell(endpoint, GossipCodec.UNREACHABLE, 0, context.settings().zone());
            outliers.recordUnreachable(endpoint);
        } else {
            recordFailure(endpoint);
        }
        if (event.outcome() == Outcome.TIMED_OUT && endpoint.inFlight.isCurrent(attempt)) {
            learnTimeout(request, attempt, event.tookMicros());
        }
        if (attempt.prefill) {
            prefixes.removeHolder(request, endpoint);
        }
    }

    /** A timeout shows that the attempt takes at least so long. */
    private void learnTimeout(TrackedRequest request, Attempt attempt, long tookMicros) {
        if (attempt.prefill) {
            serviceTimes.learnPrefill(attempt.endpoint, attempt.missedTokens, tookMicros);
        } else {
            serviceTimes.learnFirstToken(request.promptTokens(), tookMicros);
        }
    }
}
