package sorrelhoist.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import sorrelhoist.lab.scenario.Scenario;
import sorrelhoist.lab.scenario.Scenario.ScheduledAction;

class ActionStepsTest {
    private static final Scenario SCENARIO =
            new Scenario(
                    "test",
                    1,
                    1_000_000,
                    List.of(new Scenario.Zone("a", 1, List.of(new Scenario.Rack("r", 2, 1)))),
                    List.of(),
                    List.of());
    private final ProcessFleet fleet =
            new ProcessFleet(SCENARIO, Path.of("unused"), List.of("java"), 0, Map.of());
    private final ActionSteps steps =
            new ActionSteps(fleet, null, new SplittableRandom(SCENARIO.seed()));

    @AfterEach
    void close() {
        fleet.close();
    }

    private List<String> steps(String action, String target, String selector, double amount) {
        ScheduledAction scheduled =
                new ScheduledAction(0, action, target, selector, amount, 2_000_000, 1);
        return steps.of(scheduled).stream().map(ActionSteps.Step::description).toList();
    }

    @Test
    void aNumberAndEverySelectEnginesOfTheKind() {
        assertEquals(List.of("r-r2: slow 3.0 2000"), steps("slow", "reader", "2", 3));
        assertEquals(List.of("r-r1, r-r2, r-w1: hang 2000"), steps("hang", "engine", "every", 0));
        assertEquals(List.of("r-w1: flush 0.5"), steps("flush", "writer", "any", 0.5));
    }

    @Test
    void whatEndsHasASecondStep() {
        assertEquals(
                List.of("r-w1 crashes", "r-w1 starts again, cold"),
                steps("crash", "writer", "1", 0));
        assertEquals(
                List.of("edge 1 is killed", "edge 1 starts again"), steps("kill", "edge", "1", 0));
    }

    @Test
    void othersHaveOne() {
        assertEquals(List.of("rack r is cut off"), steps("cut", "rack", "r", 0));
        assertEquals(List.of("the registry is told to lag"), steps("lag", "registry", "", 500));
        assertEquals(List.of("a burst of 2.0 times the load"), steps("burst", "load", "", 2));
    }
}
