package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.record.ChunkCodec;
import sorrelhoist.core.record.CorruptRecordException;
import sorrelhoist.core.record.RecordEntry;
import sorrelhoist.core.record.Recorder;
import sorrelhoist.core.record.Recording;
import sorrelhoist.core.record.RecordingAnonymizer;
import sorrelhoist.core.record.RecordingMinimizer;
import sorrelhoist.core.record.Replay;
import sorrelhoist.core.record.ReplayComparison;
import sorrelhoist.core.record.RequestTimeline;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingActions.Fail;
import sorrelhoist.routing.RoutingEvents.Arrived;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Seated;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingSettings;
import sorrelhoist.routing.RoutingSettings.Capabilities;

/**
 * Records random histories of a router and replays them: every action must be identical, and the
 * timeline must explain every final result.
 */
class RecordedHistoryReplayTest {
    private static byte[] file(List<byte[]> chunks) {
        byte[] out = ChunkCodec.fileHeader();
        for (byte[] c : chunks) {
            int at = out.length;
            out = java.util.Arrays.copyOf(out, at + c.length);
            System.arraycopy(c, 0, out, at, c.length);
        }
        return out;
    }

    /** Runs one history with a recorder. {@return the recording as a file} */
    private static byte[] recorded(long seed) {
        List<byte[]> chunks = new ArrayList<>();
        Recorder[] recorder = new Recorder[1];
        new Histories(
                        seed,
                        UnaryOperator.identity(),
                        s ->
                                recorder[0] =
                                        new Recorder(
                                                new RecordEntry.Header(
                                                        "test",
                                                        s.identity().name(),
                                                        s.identity().incarnation(),
                                                        s.routing(),
                                                        s.seed()),
                                                chunks::add))
                .play();
        recorder[0].flush();
        return file(chunks);
    }

    @Test
    void replayReproducesEveryActionOfThousandsOfRequests() throws CorruptRecordException {
        long requests = 0;
        long actions = 0;
        for (long seed = 0; seed < 700; seed++) {
            Recording recording = Recording.of(List.of(recorded(seed)));
            assertTrue(recording.isComplete() && recording.faults().isEmpty(), "seed " + seed);
            Replay.Result r = Replay.run(recording);
            assertTrue(
                    r.isIdentical(),
                    "seed "
                            + seed
                            + ": "
                            + (r.firstDifference() == null
                                    ? r.fault()
                                    : r.firstDifference().describe()));
            actions += r.actions();
            requests +=
                    recording.entries().stream()
                            .filter(
                                    l ->
                                            l.entry() instanceof RecordEntry.Decision t
                                                    && t.event() instanceof Arrived)
                            .count();
        }
        assertTrue(
                requests > 4000 && actions > 20_000,
                requests + " requests, " + actions + " actions");
    }

    @Test
    void aDifferentSeedIsDetectedAndTheFirstDifferenceReported() throws CorruptRecordException {
        int found = 0;
        for (long seed = 0; seed < 50; seed++) {
            Recording recording = Recording.of(List.of(recorded(seed)));
            RecordEntry.Header h = recording.header();
            Recording other =
                    Recording.of(
                            new RecordEntry.Header(
                                    h.build(),
                                    h.name(),
                                    h.incarnation(),
                                    h.settings(),
                                    h.seed() + 1),
                            recording.entries().stream()
                                    .map(Recording.NumberedEntry::entry)
                                    .toList());
            Replay.Difference d = Replay.run(other).firstDifference();
            if (d != null) {
                found++;
                assertFalse(d.recorded() == null && d.replayed() == null);
                assertTrue(d.describe().startsWith("entry " + d.entry().number()), d.describe());
            }
        }
        assertTrue(found > 10, found + " differences detected");
    }

    @Test
    void everyFinalResultIsExplainedByItsTimeline() throws CorruptRecordException {
        int timelines = 0;
        for (long seed = 0; seed < 60; seed++) {
            Recording recording = Recording.of(List.of(recorded(seed)));
            for (Recording.NumberedEntry l : recording.entries()) {
                if (l.entry() instanceof RecordEntry.RequestSubmitted a && a.fromToken() == 0) {
                    List<String> timeline = new RequestTimeline(recording).describe(a.name());
                    assertTrue(
                            timeline.get(0).contains("submitted as " + a.name()),
                            timeline.toString());
                    boolean ended =
                            recording.entries().stream()
                                    .anyMatch(
                                            x ->
                                                    x.entry()
                                                                    instanceof
                                                                    RecordEntry.RequestCompleted e
                                                            && e.client() == a.client());
                    assertEquals(
                            ended,
                            timeline.stream()
                                    .anyMatch(
                                            s ->
                                                    s.contains("answered: ")
                                                            || s.contains("left")
                                                            || s.contains("given up")),
                            timeline.toString());
                    assertTrue(
                            timeline.stream()
                                    .noneMatch(
                                            s ->
                                                    s.contains("nothing is known of why")
                                                            && s.contains("refused")),
                            timeline.toString());
                    timelines++;
                }
            }
        }
        assertTrue(timelines > 200, timelines + " timelines");
    }

    @Test
    void aMinimizedRecordingStillShowsItsFailureAndLittleElse() throws CorruptRecordException {
        for (long seed = 0; seed < 400; seed++) {
            Recording recording = Recording.of(List.of(recorded(seed)));
            if (recording.entries().size() > 60 && hasUnsafeRepeatFailure(recording)) {
                RecordingMinimizer minimizer =
                        new RecordingMinimizer(
                                recording.header(),
                                RecordedHistoryReplayTest::hasUnsafeRepeatFailure,
                                3000);
                Recording minimized = minimizer.minimize(recording);
                assertTrue(hasUnsafeRepeatFailure(minimized));
                assertTrue(
                        minimized.entries().size() * 3 < recording.entries().size(),
                        minimized.entries().size() + " of " + recording.entries().size());
                Recording again = Recording.of(List.of(minimized.toFileBytes()));
                assertTrue(again.isComplete());
                assertTrue(
                        Replay.run(again).isIdentical(),
                        "the replay of the minimized recording differs");
                return;
            }
        }
        throw new AssertionError(
                "no history in which a request failed because its repeat was unsafe");
    }

    /** Returns whether a request failed because a further attempt would have been unsafe. */
    private static boolean hasUnsafeRepeatFailure(Recording recording) {
        return recording.entries().stream()
                .anyMatch(
                        l ->
                                l.entry() instanceof RecordEntry.Decision t
                                        && t.actions().stream()
                                                .anyMatch(
                                                        RecordedHistoryReplayTest::isUnsafeRepeat));
    }

    private static boolean isUnsafeRepeat(Action action) {
        return action instanceof Fail failure && failure.why().kind() == Reason.Kind.REPEAT_UNSAFE;
    }

    private static RoutingSettings withTwoAttempts(RoutingSettings s) {
        Capabilities l = s.capabilities();
        return new RoutingSettings(
                s.routers(),
                s.self(),
                s.zone(),
                s.subscribesToDiscovery(),
                s.overQuotaPriorityWeight(),
                s.loadReportMode(),
                s.classes(),
                s.tenants(),
                s.serverKinds(),
                new Capabilities(
                        2,
                        l.cancel(),
                        l.probes(),
                        l.backoffHints(),
                        l.maxBackoffMicros(),
                        l.decodersMayPrefill(),
                        l.gossip(),
                        l.probeCost(),
                        l.gossipCost()),
                s.serverLimits());
    }

    @Test
    void otherSettingsShowWhatTheyWouldHaveChanged() throws CorruptRecordException {
        int refusedNow = 0;
        for (long seed = 0; seed < 60; seed++) {
            Recording recording = Recording.of(List.of(recorded(seed)));
            RoutingSettings s = recording.header().settings();
            ReplayComparison.Report same = ReplayComparison.compare(recording, s);
            assertEquals(same.requests(), same.unchanged(), "seed " + seed);
            ReplayComparison.Report fewer = ReplayComparison.compare(recording, withTwoAttempts(s));
            int changed = fewer.newlyRejected().values().stream().mapToInt(n -> n).sum();
            assertEquals(
                    fewer.requests() - fewer.unchanged(),
                    changed
                            + fewer.rerouted()
                            + fewer.newlyForwarded().values().stream().mapToInt(n -> n).sum());
            refusedNow += changed;
        }
        assertTrue(
                refusedNow > 20,
                "a limit of two attempts instead of five rejects " + refusedNow + " more requests");
    }

    @Test
    void anonymizedNamesAreEqualWhereTheOriginalNamesAre() throws CorruptRecordException {
        Recording recording = Recording.of(List.of(recorded(3)));
        Recording other = RecordingAnonymizer.anonymize(recording);
        assertTrue(Replay.run(other).isIdentical());
        String text = other.entries().toString() + other.header();
        for (Server server : Fleet.servers()) {
            assertFalse(text.contains("id=" + server.id() + ","), text);
        }
        assertFalse(text.contains("session=s,"), text);
        assertEquals(
                1,
                other.entries().stream()
                        .filter(
                                l ->
                                        l.entry() instanceof RecordEntry.Decision t
                                                && t.event() instanceof Arrived)
                        .map(l -> ((Arrived) ((RecordEntry.Decision) l.entry()).event()).session())
                        .distinct()
                        .count());
    }

    @Test
    void importedKnowledgeAndChangedRouterIndexAreReplayed() throws CorruptRecordException {
        List<byte[]> chunks = new ArrayList<>();
        RouterSettings s = Fleet.settings(true, true, 9);
        Recorder recorder =
                new Recorder(
                        new RecordEntry.Header(
                                "test",
                                s.identity().name(),
                                s.identity().incarnation(),
                                s.routing(),
                                s.seed()),
                        chunks::add);
        Router teacher = new Router(s, o -> {});
        teacher.endpointsUpdated(0, ListUpdateKind.COMPLETE, Fleet.servers());
        teacher.requestArrived(10, Fleet.call(0, 5, 0));
        Router router = new Router(s, o -> {}, recorder);
        router.endpointsUpdated(0, ListUpdateKind.COMPLETE, Fleet.servers());
        router.importKnowledge(1000, teacher.exportKnowledge(1000, 100), 5000);
        router.routerCountChanged(2000, 7, 3);
        for (int i = 0; i < 20; i++) {
            router.requestArrived(3000 + i, Fleet.call(i % 3, 5, 0));
        }
        router.advance(10_000_000);
        recorder.flush();
        Recording recording = Recording.of(List.of(file(chunks)));
        assertTrue(
                recording.entries().stream()
                        .anyMatch(l -> l.entry() instanceof RecordEntry.KnowledgeAdopted));
        assertTrue(Replay.run(recording).isIdentical());
        assertTrue(
                recording.entries().stream()
                        .anyMatch(
                                l ->
                                        l.entry() instanceof RecordEntry.Decision t
                                                && t.event().equals(new Seated(7, 3))));
    }
}
