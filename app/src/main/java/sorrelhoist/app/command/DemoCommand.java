package sorrelhoist.app.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sorrelhoist.lab.fleet.ProcessFleet;
import sorrelhoist.lab.scenario.Scenario;

/** Starts a fleet, streams some prompts and runs the built-in scenario. */
@Command(
        name = "demo",
        description = "Starts a fleet, streams some prompts, runs and judges a short scenario.")
public final class DemoCommand implements Callable<Integer> {
    private static final String[] PROMPTS = {
        "Where is the pallet for dock seven?",
        "When does the truck come back?",
        "How many crates are on the morning list?"
    };
    private static final int MAX_TOKENS = 24;

    @Option(names = "--seed", description = "replaces the scenario's seed")
    Long seed;

    @Override
    public Integer call() throws IOException {
        Scenario scenario = LocalFleets.withSeed(LocalFleets.builtInScenario(), seed);
        Path folder = LocalFleets.newFolder("demo");
        try (ProcessFleet fleet = LocalFleets.create(scenario, folder)) {
            System.out.println(
                    "starting registry, planner, "
                            + fleet.edgeCount()
                            + " edges and "
                            + fleet.engines().size()
                            + " engines; settings, logs and traces are in "
                            + folder);
            fleet.start();
            System.out.println(fleet.readyLine());
            System.out.println();
            for (int i = 0; i < PROMPTS.length; i++) {
                AnswerPrinter.print(fleet.edge(i % fleet.edgeCount()), PROMPTS[i], MAX_TOKENS);
            }
            System.out.println();
            return LocalFleets.run(scenario, fleet) ? 0 : 1;
        }
    }
}
