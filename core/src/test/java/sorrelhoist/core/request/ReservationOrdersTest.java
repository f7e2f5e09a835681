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
class ReservationOrdersTest {
    private static int runs;

    @Test
    void inEveryOrderOfTwoAndThreeEventsEverythingReservedIsTakenOrReleasedInTime() {
        List<String> broken = new ArrayList<>();
        runs = 0;
        for (ReservationWorld.Tail tail : ReservationWorld.Tail.values()) {
            for (boolean writersRead : new boolean[] {false, true}) {
                orders(List.of(), 3, events -> play(events, tail, writersRead, broken));
            }
        }
        System.out.println(runs + " sequences of two and three events were run");
        assertTrue(runs > 20_000, runs + " sequences");
        assertEquals(List.of(), broken.stream().limit(20).toList(), broken.size() + " faults");
    }

    private interface Play {
        void play(List<ReservationEvent> events);
    }

    private static void orders(List<ReservationEvent> before, int most, Play play) {
        if (before.size() >= 2) {
            play.play(before);
        }
        if (before.size() < most) {
            for (ReservationEvent next : ReservationEvent.values()) {
                List<ReservationEvent> events = new ArrayList<>(before);
                events.add(next);
                orders(events, most, play);
            }
        }
    }

    private static void play(
            List<ReservationEvent> events,
            ReservationWorld.Tail tail,
            boolean writersRead,
            List<String> broken) {
        runs++;
        for (String fault : new ReservationWorld(tail, writersRead).play(events)) {
            broken.add(
                    events
                            + " then "
                            + tail
                            + (writersRead ? ", decode engines prefill" : "")
                            + ": "
                            + fault);
        }
    }
}
