package sorrelhoist.core.reservation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.reservation.ReservationModel.Event;

/**
 * Checks every sequence of events of a reservation with two decodes, up to a depth: the table must
 * not forget a state that is still reserved.
 */
class ReservationModelTest {
    private static final int DEPTH = 8;
    private final List<List<Event>> violations = new ArrayList<>();
    private int sequences;

    @Test
    void stateIsReleasedInTimeInEveryEventSequence() {
        checkExtensions(new ArrayList<>());
        System.out.println(sequences + " sequences of up to " + DEPTH + " events were checked");
        assertTrue(sequences > 50_000, sequences + " sequences");
        assertEquals(
                List.of(),
                violations.stream().limit(10).toList(),
                violations.size() + " sequences in which the state is not released in time");
    }

    /**
     * Checks a sequence and all its extensions, skipping sequences with an event that changes
     * nothing.
     */
    private void checkExtensions(List<Event> sequence) {
        ReservationModel model = new ReservationModel();
        for (int i = 0; i < sequence.size(); i++) {
            boolean possible = model.apply(sequence.get(i));
            if (!possible) {
                return;
            }
        }
        sequences++;
        if (!model.endsWithoutLeak()) {
            violations.add(List.copyOf(sequence));
        }
        if (sequence.size() == DEPTH) {
            return;
        }
        for (Event next : Event.values()) {
            sequence.add(next);
            checkExtensions(sequence);
            sequence.remove(sequence.size() - 1);
        }
    }
}
