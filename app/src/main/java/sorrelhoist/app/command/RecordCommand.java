package sorrelhoist.app.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sorrelhoist.app.config.Config;
import sorrelhoist.core.explain.ReasonFormatter;
import sorrelhoist.core.record.CorruptRecordException;
import sorrelhoist.core.record.RecordEntry;
import sorrelhoist.core.record.Recording;
import sorrelhoist.core.record.RecordingAnonymizer;
import sorrelhoist.core.record.RecordingMinimizer;
import sorrelhoist.core.record.Replay;
import sorrelhoist.core.record.ReplayComparison;
import sorrelhoist.core.record.RequestTimeline;
import sorrelhoist.core.record.SegmentRetention;
import sorrelhoist.edge.record.RecordFolder;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.Routing;

/** Works on the record of an edge's decisions. */
@Command(
        name = "record",
        description =
                "Shows, explains, replays, compares and cuts the record of an edge's decisions.")
public final class RecordCommand {
    private static final int CUT_REPLAYS = 5000;
    private static final int SAMPLES = 3;

    /** A fault that is told in one line. */
    private static final class Said extends Exception {
        private static final long serialVersionUID = 1;

        Said(String message) {
            super(message, null, false, false);
        }
    }

    private interface Work {
        int run(Recording tape) throws Said, IOException;
    }

    private static int on(Path where, Work work) {
        try {
            return work.run(read(where));
        } catch (Said e) {
            System.err.println("record: " + e.getMessage());
            return 2;
        } catch (CorruptRecordException | IOException e) {
            System.err.println(
                    "record: "
                            + where
                            + ": "
                            + e.getMessage()
                            + ": give a .rec file, or the folder that an"
                            + " edge's record.folder names");
            return 2;
        }
    }

    private static Recording read(Path where) throws IOException, CorruptRecordException {
        List<byte[]> files = new ArrayList<>();
        if (Files.isDirectory(where)) {
            try (Stream<Path> list = Files.list(where)) {
                for (Path f :
                        list.filter(p -> p.toString().endsWith(SegmentRetention.FILE_SUFFIX))
                                .sorted()
                                .toList()) {
                    files.add(Files.readAllBytes(f));
                }
            }
        } else {
            files.add(Files.readAllBytes(where));
        }
        Recording tape = Recording.of(files);
        tape.faults().forEach(f -> System.err.println("note: " + f));
        return tape;
    }

    @Command(
            name = "show",
            description = "Sums up a record: what was asked, what became of it, and why.")
    int show(
            @Parameters(paramLabel = "RECORD") Path where,
            @Option(names = "--entries", description = "print every entry") boolean entries,
            @Option(
                            names = "--kind",
                            description = "list the requests that ended for this kind of reason")
                    Reason.Kind kind) {
        return on(
                where,
                tape -> {
                    if (entries) {
                        tape.entries()
                                .forEach(l -> System.out.println(l.number() + " " + l.entry()));
                        return 0;
                    }
                    sum(tape, kind);
                    return 0;
                });
    }

    private static void sum(Recording tape, Reason.Kind kind) {
        RecordEntry.Header head = tape.header();
        System.out.printf(
                "router %s, build %s, start %s, %d routers%n",
                head.name(),
                head.build(),
                Long.toString(head.incarnation(), 36),
                head.settings().routers());
        System.out.printf(
                "entries %d%s%n",
                tape.entries().size(),
                tape.isComplete()
                        ? ", from the start and without a gap"
                        : ", with gaps: a replay cannot be exact");
        tape.gaps()
                .forEach(
                        gap ->
                                System.out.printf(
                                        "  missing: %d to %d%n",
                                        gap.firstMissing(), gap.nextPresent() - 1));
        Map<String, Integer> counts = new TreeMap<>();
        Map<Reason.Kind, List<String>> samples = new TreeMap<>();
        Map<Long, String> names = new TreeMap<>();
        for (Recording.NumberedEntry l : tape.entries()) {
            if (l.entry() instanceof RecordEntry.Decision t) {
                counts.merge("event " + t.event().getClass().getSimpleName(), 1, Integer::sum);
                t.actions().forEach(a -> counts.merge("said " + label(a), 1, Integer::sum));
            } else if (l.entry() instanceof RecordEntry.RequestSubmitted a) {
                names.put(a.client(), a.name());
            } else if (l.entry() instanceof RecordEntry.RequestCompleted a) {
                counts.merge("answered " + a.how(), 1, Integer::sum);
                if (a.how() == RecordEntry.Completion.REFUSED
                        || a.how() == RecordEntry.Completion.FAILED) {
                    samples.computeIfAbsent(a.why().kind(), k -> new ArrayList<>())
                            .add(
                                    names.getOrDefault(a.client(), "(at the door of the router)")
                                            + ": "
                                            + ReasonFormatter.describeFailure(a.why()));
                }
            } else if (l.entry() instanceof RecordEntry.Marker m) {
                System.out.println(
                        "marked at " + m.at() + " us, entry " + l.number() + ": " + m.text());
            }
        }
        counts.forEach((what, n) -> System.out.printf("%8d  %s%n", n, what));
        samples.forEach(
                (k, list) -> {
                    System.out.println("not served, " + k + ": " + list.size());
                    list.stream()
                            .limit(k == kind ? Long.MAX_VALUE : SAMPLES)
                            .forEach(s -> System.out.println("    " + s));
                });
    }

    private static String label(Routing.Action a) {
        Reason why =
                a instanceof Routing.Send s
                        ? s.why()
                        : a instanceof Routing.Refuse r
                                ? r.why()
                                : a instanceof Routing.Fail f
                                        ? f.why()
                                        : a instanceof Routing.Cancel c ? c.why() : null;
        return a.getClass().getSimpleName() + (why == null ? "" : " " + why.kind());
    }

    @Command(name = "why", description = "Tells one request's whole story.")
    int why(
            @Parameters(paramLabel = "RECORD") Path where,
            @Parameters(
                            paramLabel = "REQUEST",
                            description = "its name at engines, its client's id, or its number")
                    String request) {
        return on(
                where,
                tape -> {
                    List<String> story = new RequestTimeline(tape).describe(request);
                    if (story.isEmpty()) {
                        throw new Said(
                                "no request \""
                                        + request
                                        + "\" here: see 'record show' for names, or look at another"
                                        + " edge's record");
                    }
                    story.forEach(System.out::println);
                    return 0;
                });
    }

    @Command(name = "replay", description = "Plays a record again and compares every action.")
    int replay(@Parameters(paramLabel = "RECORD") Path where) {
        return on(
                where,
                tape -> {
                    if (!tape.isComplete()) {
                        System.err.println(
                                "note: the record does not reach back to the start, so a difference"
                                        + " proves nothing");
                    }
                    long start = System.nanoTime();
                    Replay.Result r = Replay.run(tape);
                    double seconds = (System.nanoTime() - start) / 1e9;
                    System.out.printf(
                            Locale.ROOT,
                            "%d events, %d actions, %.0f events a second%n",
                            r.events(),
                            r.actions(),
                            r.events() / seconds);
                    System.out.println(
                            r.isIdentical()
                                    ? "every action is the same"
                                    : r.firstDifference() != null
                                            ? "first difference: " + r.firstDifference().describe()
                                            : r.fault());
                    return r.isIdentical() ? 0 : 1;
                });
    }

    @Command(
            name = "diff",
            description = "Says what other settings, or this build, would have decided.")
    int diff(
            @Parameters(paramLabel = "RECORD") Path where,
            @Option(
                            names = "--config",
                            paramLabel = "FILE",
                            description = "an edge's settings in place of the record's")
                    Path config,
            @Option(
                            names = "--build",
                            paramLabel = "JAR",
                            description =
                                    "what this build decides against what"
                                            + " that one does, in place of the record's own")
                    Path build) {
        return on(
                where,
                recorded -> {
                    Recording tape = build == null ? recorded : as(build, recorded);
                    Routing.RoutingSettings settings = tape.header().settings();
                    try {
                        settings =
                                config == null ? settings : Config.edge(config).router(0).routing();
                    } catch (Config.Faulty e) {
                        throw new Said(e.getMessage());
                    }
                    ReplayComparison.Report r = ReplayComparison.compare(tape, settings);
                    System.out.printf(
                            Locale.ROOT,
                            "%d requests, %d decided alike%n",
                            r.requests(),
                            r.unchanged());
                    System.out.printf(
                            Locale.ROOT,
                            "sent then, not now: %s, worth %.1f%n",
                            r.newlyRejected(),
                            r.weightNewlyRejected());
                    System.out.printf(
                            Locale.ROOT,
                            "not sent then, now: %s, worth %.1f%n",
                            r.newlyForwarded(),
                            r.weightNewlyForwarded());
                    System.out.printf(
                            Locale.ROOT,
                            "sent elsewhere: %d; by the read times that the record shows, %+.1f ms"
                                    + " each over %d%n",
                            r.rerouted(),
                            r.reroutedWithTimes() == 0
                                    ? 0
                                    : -r.savedPrefillMicros() / r.reroutedWithTimes() / 1000,
                            r.reroutedWithTimes());
                    return 0;
                });
    }

    @Command(
            name = "cut",
            description = "Shrinks a record to few events that still show something.")
    int cut(
            @Parameters(paramLabel = "RECORD") Path where,
            @Option(
                            names = "--shows",
                            required = true,
                            description =
                                    "a request that is refused or failed for this kind of "
                                            + "reason: ${COMPLETION-CANDIDATES}")
                    Reason.Kind kind,
            @Option(
                            names = "--learnt",
                            defaultValue = "0",
                            paramLabel = "N",
                            description =
                                    "reads whose ends stay in it, so "
                                            + "that what was learnt of them still stands")
                    int learnt,
            @Option(
                            names = "--build",
                            paramLabel = "JAR",
                            description = "that build shows it, and this one does not")
                    Path build,
            @Option(names = "--rename", description = "under neutral names, to be shown to others")
                    boolean rename,
            @Option(
                            names = "--out",
                            required = true,
                            paramLabel = "FILE",
                            description = "the short record")
                    Path out) {
        return on(
                where,
                recorded -> {
                    Recording tape = rename ? RecordingAnonymizer.anonymize(recorded) : recorded;
                    Predicate<Recording> shows =
                            t -> reads(t) >= learnt && !ended(t, kind).isEmpty();
                    if (build == null) {
                        return cut(tape, kind, shows, t -> t, out);
                    }
                    try (OtherBuild other = new OtherBuild(build)) {
                        // A request that ends so there and is sent here: what is left is a test of
                        // what lies between them.
                        return cut(
                                tape,
                                kind,
                                t ->
                                        reads(t) >= learnt
                                                && sent(t).stream()
                                                        .anyMatch(
                                                                ended(unchecked(other, t), kind)
                                                                        ::contains),
                                t -> unchecked(other, t),
                                out);
                    }
                });
    }

    private static int cut(
            Recording tape,
            Reason.Kind kind,
            Predicate<Recording> shows,
            UnaryOperator<Recording> said,
            Path out)
            throws Said, IOException {
        if (!shows.test(Replay.withReplayedActions(tape))) {
            throw new Said(
                    "no request of this record ends as "
                            + kind
                            + " there: see 'record show' for what does");
        }
        RecordingMinimizer cut = new RecordingMinimizer(tape.header(), shows, CUT_REPLAYS);
        Recording little = cut.minimize(tape);
        Files.write(out, said.apply(little).toFileBytes());
        System.out.printf(
                "%d entries of %d, after %d replays: %s%n",
                little.entries().size(), tape.entries().size(), cut.replayCount(), out);
        return 0;
    }

    private static Recording as(Path build, Recording tape) throws IOException {
        try (OtherBuild other = new OtherBuild(build)) {
            return other.again(tape);
        }
    }

    private static Recording unchecked(OtherBuild build, Recording tape) {
        try {
            return build.again(tape);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** Requests that end for a kind of reason. */
    private static Set<Long> ended(Recording tape, Reason.Kind kind) {
        return ids(
                tape,
                a ->
                        a instanceof Routing.Refuse r && r.why().kind() == kind
                                ? r.id()
                                : a instanceof Routing.Fail f && f.why().kind() == kind
                                        ? f.id()
                                        : null);
    }

    private static Set<Long> sent(Recording tape) {
        return ids(tape, a -> a instanceof Routing.Send s ? s.id() : null);
    }

    private static Set<Long> ids(Recording tape, Function<Routing.Action, Long> of) {
        Set<Long> ids = new HashSet<>();
        for (Recording.NumberedEntry l : tape.entries()) {
            if (l.entry() instanceof RecordEntry.Decision t) {
                t.actions().stream().map(of).filter(Objects::nonNull).forEach(ids::add);
            }
        }
        return ids;
    }

    private static long reads(Recording tape) {
        return tape.entries().stream()
                .filter(
                        l ->
                                l.entry() instanceof RecordEntry.Decision t
                                        && t.event() instanceof Routing.AttemptEnded e
                                        && e.outcome() == Routing.Outcome.READ)
                .count();
    }

    @Command(name = "keep", description = "Asks a running edge to keep what it has recorded.")
    int keep(
            @Parameters(paramLabel = "FOLDER", description = "the edge's record.folder")
                    Path folder)
            throws IOException {
        if (!Files.isDirectory(folder)) {
            System.err.println(
                    "record: " + folder + ": no such folder: give the edge's record.folder");
            return 2;
        }
        Files.write(folder.resolve(RecordFolder.KEEP), new byte[0]);
        System.out.println(
                "asked: the edge keeps its record with its next write, within a second while it"
                        + " runs");
        return 0;
    }
}
