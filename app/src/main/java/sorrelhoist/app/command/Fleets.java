package sorrelhoist.app.command;

import java.io.IOException;
import java.io.InputStream;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import sorrelhoist.app.config.Config;
import sorrelhoist.lab.fleet.ProcessFleet;
import sorrelhoist.lab.fleet.ScenarioRunner;
import sorrelhoist.lab.judge.Verdict;
import sorrelhoist.lab.scenario.Scenario;
import sorrelhoist.lab.scenario.ScenarioParser;

/** What demo, up and day have in common: a fleet of processes of this very program. */
final class Fleets {
    private static final Set<String> UNSAFE = Set.of("order");

    private Fleets() {}

    /** {@return the command that starts this program again} */
    static List<String> self() {
        try {
            Path jar =
                    Path.of(
                            Fleets.class
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

    static Path folder(String name) throws IOException {
        Path folder = Files.createTempDirectory("sorrelhoist-" + name + "-");
        Config.writeTemplates(folder);
        return folder;
    }

    static Scenario builtIn() throws IOException {
        try (InputStream in = Fleets.class.getResourceAsStream("/days/bad.day")) {
            return ScenarioParser.parse(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        } catch (ScenarioParser.InvalidScenarioException e) {
            throw new IOException("the day that comes with the program: " + e.getMessage(), e);
        }
    }

    static Scenario withSeed(Scenario day, long seed) {
        return new Scenario(day.name(), seed, day.length(), day.zones(), day.loads(), day.events());
    }

    /**
     * Plays a day on a fleet that runs, and prints the judge's table. {@return whether no rule was
     * broken}
     */
    static boolean play(Scenario day, ProcessFleet fleet) throws IOException {
        System.out.println(
                "playing \""
                        + day.name()
                        + "\", seed "
                        + day.seed()
                        + ", "
                        + day.length() / 1_000_000
                        + " s");
        Verdict verdict =
                new ScenarioRunner(day, fleet, System.out::println)
                        .run(ScenarioRunner.limits(day, UNSAFE));
        System.out.println();
        System.out.print(verdict.table());
        return verdict.passed();
    }
}
