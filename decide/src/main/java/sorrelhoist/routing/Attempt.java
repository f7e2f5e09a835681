package sorrelhoist.routing;

import sorrelhoist.routing.RoutingEvents.Outcome;

/** One send of a request to one endpoint. */
final class Attempt {
    /**
     * How long an attempt should take.
     *
     * @param serviceMicros alone at the endpoint
     * @param totalMicros behind the own attempts that are in flight there
     */
    record Estimate(double serviceMicros, double totalMicros) {}

    final int number;
    final Endpoint endpoint;
    final boolean prefill;
    final long missedTokens;
    final long tokensInFlight;
    final long sentAt;
    final Estimate estimate;

    /** Whether something should have shown by now that its endpoint has it, and nothing does. */
    boolean unconfirmed;

    /**
     * Creates an attempt.
     *
     * @param number number of the send, from 0
     * @param endpoint where it is sent
     * @param prefill whether only the prompt is read there
     * @param missedTokens prompt tokens that the endpoint likely does not have cached
     * @param tokensInFlight tokens that a decode may hold there; 0 for a prefill
     * @param sentAt time of the send, in microseconds
     * @param estimate how long it should take
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

    /** {@return whether it ended with nothing to show that it had ever reached its endpoint} */
    boolean wasNeverConfirmed(Outcome outcome) {
        return unconfirmed && (outcome == Outcome.CANCELLED || outcome == Outcome.TIMED_OUT);
    }
}
