package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Runs all sequences of two and three events around one request, and checks that nothing stays
 * reserved beyond the time limit in any of them.
 */
class ReservationEventSequencesTest {
    private static int runs;

    @Test
    void inEverySequenceOfTwoAndThreeEventsEveryReservationIsUsedOrReleasedInTime() {
        List<String> faults = new ArrayList<>();
        runs = 0;
        for (ReservationSimulation.Tail tail : ReservationSimulation.Tail.values()) {
            for (boolean decodersMayPrefill : new boolean[] {false, true}) {
                forEachSequence(
                        List.of(), 3, events -> run(events, tail, decodersMayPrefill, faults));
            }
        }
        System.out.println(runs + " sequences of two and three events were run");
        assertTrue(runs > 20_000, runs + " sequences");
        assertEquals(List.of(), faults.stream().limit(20).toList(), faults.size() + " faults");
    }

    private interface SequenceAction {
        void run(List<ReservationEvent> events);
    }

    private static void forEachSequence(
            List<ReservationEvent> prefix, int maxLength, SequenceAction action) {
        if (prefix.size() >= 2) {
            action.run(prefix);
        }
        if (prefix.size() < maxLength) {
            for (ReservationEvent next : ReservationEvent.values()) {
                List<ReservationEvent> events = new ArrayList<>(prefix);
                events.add(next);
                forEachSequence(events, maxLength, action);
            }
        }
    }

    private static void run(
            List<ReservationEvent> events,
            ReservationSimulation.Tail tail,
            boolean decodersMayPrefill,
            List<String> faults) {
        runs++;
        for (String fault : new ReservationSimulation(tail, decodersMayPrefill).run(events)) {
            faults.add(
                    events
                            + " then "
                            + tail
                            + (decodersMayPrefill ? ", decode engines prefill" : "")
                            + ": "
                            + fault);
        }
    }
}
