package sorrelhoist.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ActionQueueTest {
    private final ActionQueue queue = new ActionQueue();
    private final List<String> ran = new ArrayList<>();

    @Test
    void onlyWhatIsDueRunsAndInOrderOfTime() throws Exception {
        queue.schedule(3_600_000, () -> ran.add("in an hour"));
        queue.schedule(0, () -> ran.add("now"));
        queue.schedule(-1000, () -> ran.add("overdue"));
        queue.runDue();
        assertEquals(List.of("overdue", "now"), ran);
    }

    @Test
    void anActionMayScheduleAnother() throws Exception {
        queue.schedule(0, () -> queue.schedule(0, () -> ran.add("second")));
        queue.runDue();
        assertEquals(List.of("second"), ran);
    }
}
