package sorrelhoist.app.command;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sorrelhoist.lab.fleet.ProcessFleet;
import sorrelhoist.lab.scenario.Scenario;
import sorrelhoist.lab.scenario.ScenarioParser;

/** Runs scenario files: scripted load and faults on a fleet, with a verdict from its traffic. */
@Command(name = "scenario", description = "Runs or prints scripted scenarios of load and faults.")
public final class ScenarioCommand {
    private static final int EXIT_USAGE = 2;

    @Command(name = "run", description = "Runs a scenario on a new fleet and judges the traffic.")
    int run(
            @Parameters(paramLabel = "FILE") Path file,
            @Option(names = "--seed", description = "replaces the scenario's seed") Long seed)
            throws IOException {
        Scenario parsed;
        try {
            parsed = ScenarioParser.parse(Files.readString(file));
        } catch (ScenarioParser.InvalidScenarioException e) {
            e.errors().forEach(error -> System.err.println(file + ":" + error));
            return EXIT_USAGE;
        } catch (IOException e) {
            System.err.println(file + ": cannot be read: " + e.getMessage());
            return EXIT_USAGE;
        }
        Scenario scenario = LocalFleets.withSeed(parsed, seed);
        try (ProcessFleet fleet = LocalFleets.create(scenario, LocalFleets.newFolder("scenario"))) {
            fleet.start();
            return LocalFleets.run(scenario, fleet) ? 0 : 1;
        }
    }

    @Command(
            name = "show",
            description = "Prints the built-in scenario, as a starting point for other scenarios.")
    int show() throws IOException {
        try (InputStream in =
                ScenarioCommand.class.getResourceAsStream(LocalFleets.BUILT_IN_SCENARIO)) {
            System.out.write(in.readAllBytes());
            System.out.flush();
        }
        return 0;
    }
}
