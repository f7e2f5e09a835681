package sorrelhoist.app.command;

import java.io.IOException;
import java.io.InputStream;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sorrelhoist.app.config.Config;
import sorrelhoist.lab.fleet.ProcessFleet;
import sorrelhoist.lab.fleet.ScenarioRunner;
import sorrelhoist.lab.judge.Verdict;
import sorrelhoist.lab.scenario.Scenario;
import sorrelhoist.lab.scenario.ScenarioParser;

/** Creates fleets of processes of this program, and runs scenarios on them. */
final class LocalFleets {
    /** The resource path of the built-in scenario. */
    static final String BUILT_IN_SCENARIO = "/days/bad.day";

    private static final long MICROS_PER_SECOND = 1_000_000;

    /** The request classes that are not safe to repeat. */
    private static final Set<String> NON_IDEMPOTENT_CLASSES = Set.of("order");

    private LocalFleets() {}

    /**
     * {@return a new fleet for a scenario, not started, with its files in a folder and with ports
     * that the system selects}
     */
    static ProcessFleet create(Scenario scenario, Path folder) throws IOException {
        return new ProcessFleet(scenario, folder, programCommand(), 0, Map.of());
    }

    /** {@return the command that starts another process of this program} */
    static List<String> programCommand() {
        try {
            Path jar =
                    Path.of(
                            LocalFleets.class
                                    .getProtectionDomain()
                                    .getCodeSource()
                                    .getLocation()
                                    .toURI());
            String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
            return List.of(java, "-jar", jar.toString());
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }

    /** {@return a new temporary folder that contains the settings templates} */
    static Path newFolder(String name) throws IOException {
        Path folder = Files.createTempDirectory("sorrelhoist-" + name + "-");
        Config.writeTemplates(folder);
        return folder;
    }

    /** {@return the built-in scenario} */
    static Scenario builtInScenario() throws IOException {
        try (InputStream in = LocalFleets.class.getResourceAsStream(BUILT_IN_SCENARIO)) {
            return ScenarioParser.parse(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        } catch (ScenarioParser.InvalidScenarioException e) {
            throw new IOException("the built-in scenario: " + e.getMessage(), e);
        }
    }

    /** {@return a scenario with its seed replaced; the same scenario if the seed is null} */
    static Scenario withSeed(Scenario scenario, Long seed) {
        return seed == null
                ? scenario
                : new Scenario(
                        scenario.name(),
                        seed,
                        scenario.length(),
                        scenario.zones(),
                        scenario.loads(),
                        scenario.actions());
    }

    /**
     * Runs a scenario on a started fleet and prints the judge's table.
     *
     * @return whether the judge found no violation
     */
    static boolean run(Scenario scenario, ProcessFleet fleet) throws IOException {
        System.out.println(
                "playing \""
                        + scenario.name()
                        + "\", seed "
                        + scenario.seed()
                        + ", "
                        + scenario.length() / MICROS_PER_SECOND
                        + " s");
        ScenarioRunner runner = new ScenarioRunner(scenario, fleet, System.out::println);
        Verdict verdict = runner.run(ScenarioRunner.limits(scenario, NON_IDEMPOTENT_CLASSES));
        System.out.println();
        System.out.print(verdict.table());
        return verdict.passed();
    }
}
