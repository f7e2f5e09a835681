package sorrelhoist.routing;

import sorrelhoist.routing.Reason.Kind;

/**
 * An endpoint that was chosen, and why: reported with the action, never read by a decision.
 *
 * @param endpoint the chosen one
 * @param kind what settled it
 * @param estimate its figure; not a number where nothing was compared
 * @param runnerUp the next best, or null
 * @param runnerUpEstimate its figure
 */
record Selection(
        Endpoint endpoint, Kind kind, double estimate, Endpoint runnerUp, double runnerUpEstimate) {
    /** {@return the same choice for another reason} */
    Selection as(Kind other) {
        return new Selection(endpoint, other, estimate, runnerUp, runnerUpEstimate);
    }

    /** {@return the id of the next best endpoint, or null} */
    String runnerUpId() {
        return runnerUp == null ? null : runnerUp.id;
    }
}
