package sorrelhoist.routing;

import sorrelhoist.routing.Reason.Kind;

/**
 * A selected endpoint and the reason. The reason is reported with the action and not used by
 * decisions.
 *
 * @param endpoint the selected endpoint
 * @param kind the deciding reason
 * @param estimate the value of the endpoint in the comparison; NaN if nothing was compared
 * @param runnerUp the next best endpoint, or null
 * @param runnerUpEstimate the value of the next best endpoint in the comparison
 */
record Selection(
        Endpoint endpoint, Kind kind, double estimate, Endpoint runnerUp, double runnerUpEstimate) {
    /** {@return the same selection with another reason} */
    Selection as(Kind other) {
        return new Selection(endpoint, other, estimate, runnerUp, runnerUpEstimate);
    }

    /** {@return the id of the next best endpoint, or null} */
    String runnerUpId() {
        return runnerUp == null ? null : runnerUp.id;
    }
}
