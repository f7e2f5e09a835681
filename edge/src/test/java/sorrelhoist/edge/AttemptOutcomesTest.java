package sorrelhoist.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sorrelhoist.protocol.grpc.ClientCall.Termination;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.grpc.StatusCode;
import sorrelhoist.routing.RoutingEvents.Outcome;

class AttemptOutcomesTest {
    @ParameterizedTest
    @CsvSource({
        "NOT_SENT,UNAVAILABLE,CONNECT_FAILED",
        "UNPROCESSED,UNAVAILABLE,CONNECT_FAILED",
        "BROKEN,UNAVAILABLE,RESET",
        "CANCELLED,CANCELLED,CANCELLED",
        "STATUS,RESOURCE_EXHAUSTED,FULL",
        "STATUS,FAILED_PRECONDITION,FULL",
        "STATUS,DEADLINE_EXCEEDED,TIMED_OUT",
        "STATUS,UNAVAILABLE,ERROR"
    })
    void onlyProvenNonExecutionIsConnectFailed(
            Termination termination, StatusCode code, Outcome outcome) {
        assertEquals(outcome, AttemptOutcomes.of(new Status(code, ""), termination));
    }

    @Test
    void onlyAStatusReportsAMissingState() {
        Status missing = new Status(StatusCode.FAILED_PRECONDITION, "");
        assertTrue(AttemptOutcomes.isStateMissing(missing, Termination.STATUS));
        assertFalse(AttemptOutcomes.isStateMissing(missing, Termination.BROKEN));
    }
}
