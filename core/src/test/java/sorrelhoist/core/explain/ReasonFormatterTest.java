package sorrelhoist.core.explain;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import sorrelhoist.routing.Reason;

/** Descriptions of reasons as clients and operators read them. */
class ReasonFormatterTest {
    private static final double UNKNOWN = Double.NaN;

    private static Reason expected(Reason.Kind kind) {
        return new Reason(kind, 250_400, 200_000, 90_040, 60_000, 100_360, UNKNOWN, null, UNKNOWN);
    }

    @Test
    void aRejectionNamesTheExpectedTimesAndWhenToRetry() {
        assertEquals(
                "refused, and a repeat is harmless: the engines are too busy: 250 ms expected to"
                        + " the first token (read 90.0 ms, answer 60.0 ms, engines behind by"
                        + " 100 ms), 200 ms allowed; come back in 2 ms",
                ReasonFormatter.describeRejection(expected(Reason.Kind.DOOR), 1001));
        assertEquals(
                "refused, and a repeat is harmless: the engines that are listed are draining",
                ReasonFormatter.describeRejection(Reason.of(Reason.Kind.DRAINING), 0));
    }

    @Test
    void aFullAndAStoppingRouterAreToldApart() {
        assertEquals(
                "this edge holds 7 requests already",
                ReasonFormatter.describeFailure(Reason.compared(Reason.Kind.ROUTER_FULL, 7, 7)));
        assertEquals(
                "this edge is about to stop",
                ReasonFormatter.describeFailure(Reason.compared(Reason.Kind.ROUTER_FULL, 7, 0)));
    }

    @Test
    void aSelectionNamesWhatWasCompared() {
        assertEquals(
                "cheapest to read at, 25.0 ms against 26.0 ms at r2; due at 30.0 ms of an aim of"
                        + " unknown",
                ReasonFormatter.describeSelection(
                        new Reason(
                                Reason.Kind.CHEAPEST,
                                30_000,
                                UNKNOWN,
                                UNKNOWN,
                                UNKNOWN,
                                UNKNOWN,
                                25_000,
                                "r2",
                                26_000)));
        assertEquals(
                "lighter of two drawn, 40 tokens; due at 30.0 ms of an aim of 100 ms",
                ReasonFormatter.describeSelection(
                        new Reason(
                                Reason.Kind.TWO_DRAWS,
                                30_000,
                                100_000,
                                UNKNOWN,
                                UNKNOWN,
                                UNKNOWN,
                                40,
                                null,
                                UNKNOWN)));
    }
}
