package sorrelhoist.lab.fleet;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import sorrelhoist.lab.fleet.ProcessFleet.EngineSlot;
import sorrelhoist.lab.scenario.Scenario.ScheduledAction;

/** Translates a scenario's actions into steps on a fleet: one at the begin, and one at the end. */
final class ActionSteps {
    private static final long MICROS_PER_MILLI = 1000;

    /** Changes the fleet. */
    interface Operation {
        void run() throws IOException;
    }

    /**
     * Something to do.
     *
     * @param description what, for people
     * @param operation does it
     */
    record Step(String description, Operation operation) {}

    private final ProcessFleet fleet;
    private final FaultController controller;
    private final SplittableRandom random;

    /**
     * Creates a translator.
     *
     * @param fleet the fleet
     * @param controller injects the faults
     * @param random draws engines where any may be chosen
     */
    ActionSteps(ProcessFleet fleet, FaultController controller, SplittableRandom random) {
        this.fleet = fleet;
        this.controller = controller;
        this.random = random;
    }

    /** {@return the step at an action's begin, and the one at its end if there is one} */
    List<Step> of(ScheduledAction action) {
        return switch (action.target()) {
            case "rack" -> List.of(cutRackOff(action));
            case "edge" -> killEdge(action.selector());
            case "planner" ->
                    List.of(
                            new Step("the planner is killed", () -> controller.kill("planner")),
                            new Step("the planner starts again", fleet::restartPlanner));
            case "registry" -> List.of(commandRegistry(action));
            case "load" -> {
                String burst = "a burst of " + action.amount() + " times the load";
                yield List.of(new Step(burst, () -> {}));
            }
            default -> onEngines(action);
        };
    }

    private static long millis(ScheduledAction action) {
        return action.duration() / MICROS_PER_MILLI;
    }

    private Step cutRackOff(ScheduledAction action) {
        String rack = action.selector();
        List<EngineSlot> engines =
                fleet.engines().stream().filter(engine -> engine.rack().equals(rack)).toList();
        return new Step(
                "rack " + rack + " is cut off", () -> commandAll(engines, "cut " + millis(action)));
    }

    private List<Step> killEdge(String number) {
        return List.of(
                new Step("edge " + number + " is killed", () -> controller.kill("edge-" + number)),
                new Step(
                        "edge " + number + " starts again",
                        () -> fleet.restartEdge(Integer.parseInt(number) - 1)));
    }

    private Step commandRegistry(ScheduledAction action) {
        String name = action.action();
        String lag = name.equals("lag") ? " " + (long) action.amount() : "";
        String command = name + lag + " " + millis(action);
        return new Step(
                "the registry is told to " + name, () -> controller.commandRegistry(command));
    }

    private List<Step> onEngines(ScheduledAction action) {
        List<EngineSlot> engines = chosenEngines(action);
        String names = String.join(", ", engines.stream().map(EngineSlot::id).toList());
        return switch (action.action()) {
            case "crash" ->
                    List.of(
                            new Step(names + " crashes", () -> killAll(engines)),
                            new Step(names + " starts again, cold", () -> restartAll(engines)));
            case "drain" ->
                    List.of(
                            new Step(names + " drains", () -> commandAll(engines, "drain")),
                            new Step(
                                    names + " serves again", () -> commandAll(engines, "undrain")));
            default -> {
                String command = engineCommand(action);
                yield List.of(new Step(names + ": " + command, () -> commandAll(engines, command)));
            }
        };
    }

    private List<EngineSlot> chosenEngines(ScheduledAction action) {
        List<EngineSlot> candidates =
                fleet.engines().stream()
                        .filter(engine -> isOfKind(engine, action.target()))
                        .toList();
        return switch (action.selector()) {
            case "every" -> candidates;
            case "any" -> List.of(candidates.get(random.nextInt(candidates.size())));
            default -> List.of(candidates.get(Integer.parseInt(action.selector()) - 1));
        };
    }

    private static boolean isOfKind(EngineSlot engine, String kind) {
        return switch (kind) {
            case "engine" -> true;
            case "reader" -> engine.role().equals("read");
            default -> engine.role().equals("write");
        };
    }

    private static String engineCommand(ScheduledAction action) {
        return switch (action.action()) {
            case "slow", "errors", "lose" ->
                    action.action() + " " + action.amount() + " " + millis(action);
            case "flush" -> "flush " + action.amount();
            default -> "hang " + millis(action);
        };
    }

    private void commandAll(List<EngineSlot> engines, String command) {
        engines.forEach(engine -> controller.commandEngine(engine.id(), command));
    }

    private void killAll(List<EngineSlot> engines) {
        engines.forEach(engine -> controller.kill(engine.id()));
    }

    private void restartAll(List<EngineSlot> engines) throws IOException {
        for (EngineSlot engine : engines) {
            fleet.restartEngine(engine);
        }
    }
}
