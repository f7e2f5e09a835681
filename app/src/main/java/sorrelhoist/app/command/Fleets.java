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
import sorrelhoist.lab.day.Day;
import sorrelhoist.lab.day.DayFile;
import sorrelhoist.lab.judge.Verdict;
import sorrelhoist.lab.run.DayRunner;
import sorrelhoist.lab.run.ProcessFleet;

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

    static Day builtIn() throws IOException {
        try (InputStream in = Fleets.class.getResourceAsStream("/days/bad.day")) {
            return DayFile.parse(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        } catch (DayFile.Faulty e) {
            throw new IOException("the day that comes with the program: " + e.getMessage(), e);
        }
    }

    static Day withSeed(Day day, long seed) {
        return new Day(day.name(), seed, day.length(), day.zones(), day.loads(), day.events());
    }

    /**
     * Plays a day on a fleet that runs, and prints the judge's table. {@return whether no rule was
     * broken}
     */
    static boolean play(Day day, ProcessFleet fleet) throws IOException {
        System.out.println(
                "playing \""
                        + day.name()
                        + "\", seed "
                        + day.seed()
                        + ", "
                        + day.length() / 1_000_000
                        + " s");
        Verdict verdict =
                new DayRunner(day, fleet, System.out::println).run(DayRunner.figures(day, UNSAFE));
        System.out.println();
        System.out.print(verdict.table());
        return verdict.clean();
    }
}
