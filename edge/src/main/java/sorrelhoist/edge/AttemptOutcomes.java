package sorrelhoist.edge;

import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.grpc.StatusCode;
import sorrelhoist.routing.RoutingEvents.Outcome;

/**
 * Maps the end of a call to an engine to the outcome of the attempt. An attempt counts as never
 * executed only where the end of the call proves it.
 */
final class AttemptOutcomes {
    private AttemptOutcomes() {}

    /** {@return the outcome of an attempt whose call did not succeed} */
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

    /** {@return whether the engine did not find the prefill state that it was to fetch} */
    static boolean isStateMissing(Status status, ClientCall.Termination termination) {
        return termination == ClientCall.Termination.STATUS
                && status.code() == StatusCode.FAILED_PRECONDITION;
    }
}
