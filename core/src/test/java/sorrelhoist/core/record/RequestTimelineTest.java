package sorrelhoist.core.record;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The timeline of a request that is found by name, client id or number. */
class RequestTimelineTest {
    private static final List<String> LINES =
            List.of(
                    "       0.0 ms  submitted as edge-1.x.5, client id mine, prompt hash"
                            + " 1234567890, client timeout 4000.0 ms",
                    "       0.0 ms  arrived: class 0, tenant 0, 100 prompt tokens (0 shared),"
                            + " up to 20 output tokens, 4000.0 ms to the first token",
                    "       0.0 ms    send to r1: by hash, as the beginning was never seen,"
                            + " 25.0 ms against 26.0 ms at r2; due at 30.0 ms of an aim of 1004 ms",
                    "       0.0 ms  answered: refused: an engine failed, and the budget of"
                            + " repeats is spent, 0.1 ms before the client's timeout");

    private final RequestTimeline timeline =
            new RequestTimeline(Recording.of(RecordFixtures.HEADER, RecordFixtures.ENTRIES));

    @Test
    void aRequestIsFoundByItsNameItsClientsNameAndItsNumber() {
        assertEquals(LINES, timeline.describe("edge-1.x.5"));
        assertEquals(LINES, timeline.describe("mine"));
        assertEquals(LINES, timeline.describe("5"));
    }

    @Test
    void aRecordingWithoutClientsIsSearchedByTheNumberAtTheRoutingPolicy() {
        Recording decisions =
                Recording.of(
                        RecordFixtures.HEADER,
                        RecordFixtures.ENTRIES.stream()
                                .filter(RecordEntry.Decision.class::isInstance)
                                .toList());
        assertEquals(LINES.subList(1, 3), new RequestTimeline(decisions).describe("5"));
        assertEquals(List.of(), new RequestTimeline(decisions).describe("6"));
        assertEquals(List.of(), new RequestTimeline(decisions).describe("no such request"));
    }
}
