package sorrelhoist.edge;

import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.grpc.StatusCode;
import sorrelhoist.routing.RoutingEvents.Outcome;

/**
 * Maps the end of a call to an engine to the outcome of the attempt. An attempt is reported as
 * never executed only if the end of the call proves that the engine did not process it.
 */
final class AttemptOutcomes {
    private AttemptOutcomes() {}

    /** Returns the outcome of an attempt whose call did not succeed. */
    static Outcome of(Status status, ClientCall.Termination termination) {
        return switch (termination) {
            case NOT_SENT, UNPROCESSED -> Outcome.CONNECT_FAILED;
            case BROKEN -> Outcome.RESET;
            case CANCELLED -> Outcome.CANCELLED;
            case STATUS -> of(status.code());
        };
    }

    private static Outcome of(StatusCode code) {
        return switch (code) {
            case RESOURCE_EXHAUSTED, FAILED_PRECONDITION -> Outcome.FULL;
            case DEADLINE_EXCEEDED -> Outcome.TIMED_OUT;
            default -> Outcome.ERROR;
        };
    }

    /**
     * Returns true if the engine reported that it did not find the prefill state to fetch. Only a
     * status that the engine sent counts, not a call that broke off.
     */
    static boolean isStateMissing(Status status, ClientCall.Termination termination) {
        return termination == ClientCall.Termination.STATUS
                && status.code() == StatusCode.FAILED_PRECONDITION;
    }
}
