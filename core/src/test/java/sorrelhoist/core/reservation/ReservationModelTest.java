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
    private final List<List<Event>> broken = new ArrayList<>();
    private int orders;

    @Test
    void inEveryOrderTheStateIsReleasedInTimeOnceNothingWaitsForIt() {
        extend(new ArrayList<>());
        System.out.println(orders + " sequences of up to " + DEPTH + " events were checked");
        assertTrue(orders > 50_000, orders + " sequences");
        assertEquals(
                List.of(),
                broken.stream().limit(10).toList(),
                broken.size() + " sequences in which the state is not released in time");
    }

    /**
     * Checks a sequence and all its extensions, skipping sequences with an event that changes
     * nothing.
     */
    private void extend(List<Event> order) {
        ReservationModel model = new ReservationModel();
        for (int i = 0; i < order.size(); i++) {
            boolean possible = model.happen(order.get(i));
            if (!possible) {
                return;
            }
        }
        orders++;
        if (!model.endsClean()) {
            broken.add(List.copyOf(order));
        }
        if (order.size() == DEPTH) {
            return;
        }
        for (Event next : Event.values()) {
            order.add(next);
            extend(order);
            order.remove(order.size() - 1);
        }
    }
}
