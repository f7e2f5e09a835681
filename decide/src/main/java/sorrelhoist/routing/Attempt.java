package sorrelhoist.routing;

import sorrelhoist.routing.RoutingEvents.Outcome;

/** One send of a request to one endpoint. */
final class Attempt {
    /**
     * The expected duration of an attempt.
     *
     * @param serviceMicros service time at an idle endpoint, in microseconds
     * @param totalMicros time including this router's awaited attempts at the endpoint, in
     *     microseconds
     */
    record Estimate(double serviceMicros, double totalMicros) {}

    final int number;
    final Endpoint endpoint;
    final boolean prefill;
    final long missedTokens;
    final long tokensInFlight;
    final long sentAt;
    final Estimate estimate;

    /** Whether the endpoint should have confirmed the attempt by now and has not. */
    boolean unconfirmed;

    /**
     * Creates an attempt.
     *
     * @param number number of the send, from 0
     * @param endpoint the endpoint that it is sent to
     * @param prefill whether the endpoint only does the prefill
     * @param missedTokens prompt tokens that the endpoint likely does not have cached
     * @param tokensInFlight maximum number of tokens that a decode may hold there; 0 for a prefill
     * @param sentAt time of the send, in microseconds
     * @param estimate the expected duration
     */
    Attempt(
            int number,
            Endpoint endpoint,
            boolean prefill,
            long missedTokens,
            long tokensInFlight,
            long sentAt,
            Estimate estimate) {
        this.number = number;
        this.endpoint = endpoint;
        this.prefill = prefill;
        this.missedTokens = missedTokens;
        this.tokensInFlight = tokensInFlight;
        this.sentAt = sentAt;
        this.estimate = estimate;
    }

    /** {@return whether the attempt ended without any confirmation that it reached its endpoint} */
    boolean wasNeverConfirmed(Outcome outcome) {
        return unconfirmed && (outcome == Outcome.CANCELLED || outcome == Outcome.TIMED_OUT);
    }
}
