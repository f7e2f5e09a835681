package sorrelhoist.app.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sorrelhoist.lab.soak.RouterProcess;
import sorrelhoist.lab.soak.ScheduledFault;
import sorrelhoist.lab.soak.SoakPlan;
import sorrelhoist.lab.soak.SoakResult;
import sorrelhoist.lab.soak.SoakRunner;
import sorrelhoist.lab.soak.SystemCallFaults;

/** Injects overlapping faults, scheduled from a seed, into processes of the platform's router. */
@Command(
        name = "soak",
        description =
                "Injects overlapping faults into router processes and judges what clients and"
                        + " workers observed.")
public final class SoakCommand implements Callable<Integer> {
    private static final int MOST_ROUTERS = 40;
    private static final int FAILED = 1;
    private static final int USAGE = 2;
    private static final int SHOWN = 20;

    @Option(names = "--seed", defaultValue = "1", description = "seed of faults and traffic")
    long seed;

    @Option(names = "--seconds", defaultValue = "40", description = "duration of the traffic")
    int seconds;

    @Option(names = "--routers", defaultValue = "10", description = "router processes, 1 to 40")
    int routers;

    @Option(
            names = "--workers",
            defaultValue = "12",
            description = "stand-in workers, half of them for prefill")
    int workers;

    @Option(names = "--rate", defaultValue = "150", description = "requests a second")
    double rate;

    @Option(
            names = "--faults",
            split = ",",
            defaultValue = "all",
            description = "kinds of faults, or all")
    List<String> faults;

    @Option(names = "--folder", description = "for logs (default: a temporary one)")
    Path folder;

    @Option(names = "--root", defaultValue = ".", description = "the project's folder, built")
    Path root;

    @Option(
            names = "--shrink",
            description = "after a failure, remove faults that are not needed to reproduce it")
    boolean shrink;

    @Override
    public Integer call() throws Exception {
        Set<ScheduledFault.Kind> kinds;
        try {
            kinds = ScheduledFault.Kind.parse(faults);
        } catch (IllegalArgumentException e) {
            System.err.println("--faults: all, or any of " + Set.of(ScheduledFault.Kind.values()));
            return USAGE;
        }
        if (routers < 1 || routers > MOST_ROUTERS || workers < 4 || seconds < 8 || rate <= 0) {
            System.err.println(
                    "--routers from 1 to 40, --workers from 4, --seconds from 8, --rate above 0");
            return USAGE;
        }
        SoakPlan plan = plan(kinds);
        SoakRunner soak = new SoakRunner(System.out::println);
        SoakResult result = soak.run(plan);
        report(plan, result);
        if (shrink && !result.violations().isEmpty()) {
            System.out.println("needed: " + soak.minimize(plan, result));
        }
        System.out.println(result.summary());
        return result.passed() ? 0 : FAILED;
    }

    private SoakPlan plan(Set<ScheduledFault.Kind> kinds) throws IOException {
        Path files =
                folder == null
                        ? Files.createTempDirectory("soak-" + seed + "-")
                        : Files.createDirectories(folder);
        Path library =
                kinds.stream().anyMatch(ScheduledFault.Kind::needsLibrary)
                        ? SystemCallFaults.build(files)
                        : null;
        if (library == null) {
            kinds.removeIf(ScheduledFault.Kind::needsLibrary);
            System.out.println(
                    "no system-call and clock faults: they are not selected, or there is no C"
                            + " compiler");
        }
        return new SoakPlan(
                seed,
                seconds,
                routers,
                workers,
                ScheduledFault.generateSchedule(seed, seconds, kinds),
                RouterProcess.deployedCommand(root.toAbsolutePath()),
                files,
                library,
                rate);
    }

    private static void report(SoakPlan plan, SoakResult result) {
        System.out.println("seed " + plan.seed() + ", logs in " + plan.folder());
        result.violations().stream().limit(SHOWN).forEach(v -> System.out.println("  " + v));
        result.guardViolations().stream()
                .limit(SHOWN)
                .forEach(line -> System.out.println("  " + line));
        System.out.println(
                "served "
                        + result.served()
                        + ", excused because the harness was late: "
                        + result.excused());
        if (!result.passed()) {
            plan.faults().forEach(trouble -> System.out.println("    " + trouble));
        }
    }
}
