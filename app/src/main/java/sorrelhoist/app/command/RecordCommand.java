package sorrelhoist.app.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sorrelhoist.app.config.Config;
import sorrelhoist.app.config.InvalidSettingsException;
import sorrelhoist.core.record.CorruptRecordException;
import sorrelhoist.core.record.Recording;
import sorrelhoist.core.record.Replay;
import sorrelhoist.core.record.ReplayComparison;
import sorrelhoist.core.record.RequestTimeline;
import sorrelhoist.edge.record.RecordDirectory;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.RoutingSettings;

/** The commands that process the record of an edge's decisions. */
@Command(
        name = "record",
        description =
                "Shows, explains, replays, compares and cuts the record of an edge's decisions.")
public final class RecordCommand {
    private static final int EXIT_OK = 0;
    private static final int EXIT_DIFFERENT = 1;
    private static final int EXIT_USAGE = 2;
    private static final double NANOS_PER_SECOND = 1e9;

    /** A subcommand's operation on a recording. */
    private interface RecordingTask {
        int run(Recording recording) throws RecordCommandException, IOException;
    }

    /** Loads a recording and runs a task on it. {@return the exit status} */
    private static int withRecording(Path location, RecordingTask task) {
        try {
            return task.run(RecordingLoader.load(location));
        } catch (RecordCommandException e) {
            System.err.println("record: " + e.getMessage());
        } catch (CorruptRecordException | IOException e) {
            System.err.println(
                    "record: "
                            + location
                            + ": "
                            + e.getMessage()
                            + ": give a .rec file, or the folder that an"
                            + " edge's record.folder names");
        }
        return EXIT_USAGE;
    }

    @Command(
            name = "show",
            description = "Summarizes a record: requests, their results and the reasons.")
    int show(
            @Parameters(paramLabel = "RECORD") Path location,
            @Option(names = "--entries", description = "print every entry") boolean entries,
            @Option(
                            names = "--kind",
                            description = "list all requests that ended for this kind of reason")
                    Reason.Kind kind) {
        return withRecording(
                location,
                recording -> {
                    if (entries) {
                        recording
                                .entries()
                                .forEach(e -> System.out.println(e.number() + " " + e.entry()));
                    } else {
                        new RecordingSummary(recording).print(System.out, kind);
                    }
                    return EXIT_OK;
                });
    }

    @Command(name = "why", description = "Prints the timeline of one request.")
    int why(
            @Parameters(paramLabel = "RECORD") Path location,
            @Parameters(
                            paramLabel = "REQUEST",
                            description = "its name at engines, its client's id or its number")
                    String request) {
        return withRecording(
                location,
                recording -> {
                    List<String> timeline = new RequestTimeline(recording).describe(request);
                    if (timeline.isEmpty()) {
                        throw new RecordCommandException(
                                "no request \""
                                        + request
                                        + "\" in it: see 'record show' for names, or try another"
                                        + " edge's record");
                    }
                    timeline.forEach(System.out::println);
                    return EXIT_OK;
                });
    }

    @Command(name = "replay", description = "Replays a record and compares every action.")
    int replay(@Parameters(paramLabel = "RECORD") Path location) {
        return withRecording(location, RecordCommand::replay);
    }

    private static int replay(Recording recording) {
        if (!recording.isComplete()) {
            System.err.println(
                    "note: the record is incomplete, so a difference does not" + " prove a fault");
        }
        long startNanos = System.nanoTime();
        Replay.Result result = Replay.run(recording);
        double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
        System.out.printf(
                Locale.ROOT,
                "%d events, %d actions, %.0f events a second%n",
                result.events(),
                result.actions(),
                result.events() / seconds);
        System.out.println(describe(result));
        return result.isIdentical() ? EXIT_OK : EXIT_DIFFERENT;
    }

    private static String describe(Replay.Result result) {
        if (result.isIdentical()) {
            return "all actions are identical";
        }
        return result.firstDifference() != null
                ? "first difference: " + result.firstDifference().describe()
                : result.fault();
    }

    @Command(
            name = "diff",
            description = "Shows the decisions that other settings or this build would make.")
    int diff(
            @Parameters(paramLabel = "RECORD") Path location,
            @Option(
                            names = "--config",
                            paramLabel = "FILE",
                            description = "edge settings that replace the record's")
                    Path config,
            @Option(
                            names = "--build",
                            paramLabel = "JAR",
                            description =
                                    "compares with the decisions of this"
                                            + " build instead of the recorded ones")
                    Path build) {
        return withRecording(
                location,
                recorded -> {
                    Recording recording = build == null ? recorded : replayWith(build, recorded);
                    print(ReplayComparison.compare(recording, settings(recording, config)));
                    return EXIT_OK;
                });
    }

    private static Recording replayWith(Path build, Recording recording) throws IOException {
        try (ExternalBuild other = new ExternalBuild(build)) {
            return other.replay(recording);
        }
    }

    /** {@return the settings from a file, or those of the recording if the file is null} */
    private static RoutingSettings settings(Recording recording, Path config)
            throws RecordCommandException {
        if (config == null) {
            return recording.header().settings();
        }
        try {
            return Config.edge(config).router(0).routing();
        } catch (InvalidSettingsException e) {
            throw new RecordCommandException(e.getMessage());
        }
    }

    private static void print(ReplayComparison.Report report) {
        System.out.printf(
                Locale.ROOT,
                "%d requests, %d with the same decision%n",
                report.requests(),
                report.unchanged());
        System.out.printf(
                Locale.ROOT,
                "sent then, not now: %s, worth %.1f%n",
                report.newlyRejected(),
                report.weightNewlyRejected());
        System.out.printf(
                Locale.ROOT,
                "not sent then, now: %s, worth %.1f%n",
                report.newlyForwarded(),
                report.weightNewlyForwarded());
        System.out.printf(
                Locale.ROOT,
                "sent elsewhere: %d; by the read times that the record shows, %+.1f ms"
                        + " each over %d%n",
                report.rerouted(),
                report.reroutedWithTimes() == 0
                        ? 0
                        : -report.savedPrefillMicros() / report.reroutedWithTimes() / 1000,
                report.reroutedWithTimes());
    }

    @Command(
            name = "cut",
            description = "Reduces a record to few events that still show a given result.")
    int cut(
            @Parameters(paramLabel = "RECORD") Path location,
            @Option(
                            names = "--shows",
                            required = true,
                            description =
                                    "a request that is rejected or failed for this kind of "
                                            + "reason: ${COMPLETION-CANDIDATES}")
                    Reason.Kind kind,
            @Option(
                            names = "--learnt",
                            defaultValue = "0",
                            paramLabel = "N",
                            description =
                                    "number of prefill ends to keep, so "
                                            + "that what was learnt from them is kept")
                    int learnt,
            @Option(
                            names = "--build",
                            paramLabel = "JAR",
                            description = "a build that shows the result, unlike this one")
                    Path build,
            @Option(names = "--rename", description = "replace names, to share the record")
                    boolean rename,
            @Option(
                            names = "--out",
                            required = true,
                            paramLabel = "FILE",
                            description = "file for the reduced record")
                    Path out) {
        return withRecording(
                location,
                recording -> {
                    new RecordingCutter(kind, learnt, rename, out).cut(recording, build);
                    return EXIT_OK;
                });
    }

    @Command(name = "keep", description = "Asks a running edge to preserve its record.")
    int keep(
            @Parameters(paramLabel = "FOLDER", description = "the edge's record.folder")
                    Path folder)
            throws IOException {
        if (!Files.isDirectory(folder)) {
            System.err.println(
                    "record: " + folder + ": no such folder: give the edge's record.folder");
            return EXIT_USAGE;
        }
        Files.write(folder.resolve(RecordDirectory.PRESERVE_REQUEST_FILE), new byte[0]);
        System.out.println(
                "requested: a running edge preserves its record at its next write, within a"
                        + " second");
        return EXIT_OK;
    }
}
