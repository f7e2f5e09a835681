package sorrelhoist.edge;

import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.grpc.StatusCode;
import sorrelhoist.routing.Routing.Outcome;

/**
 * What the end of an engine's call means to the decisions. Only what proves it is taken for never
 * having run.
 */
final class Outcomes {
    private Outcomes() {}

    static Outcome of(Status status, ClientCall.Termination end) {
        return switch (end) {
            case NOT_SENT, UNPROCESSED -> Outcome.CONNECT_FAILED;
            case BROKEN -> Outcome.RESET;
            case CANCELLED -> Outcome.CANCELLED;
            case STATUS ->
                    switch (status.code()) {
                        case RESOURCE_EXHAUSTED, FAILED_PRECONDITION -> Outcome.FULL;
                        case DEADLINE_EXCEEDED -> Outcome.TIMED_OUT;
                        default -> Outcome.ERROR;
                    };
        };
    }

    /** {@return whether the engine found no state to fetch} */
    static boolean isMissingState(Status status, ClientCall.Termination end) {
        return end == ClientCall.Termination.STATUS
                && status.code() == StatusCode.FAILED_PRECONDITION;
    }
}
