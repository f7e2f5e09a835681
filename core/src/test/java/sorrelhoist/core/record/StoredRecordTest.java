package sorrelhoist.core.record;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingActions.Cancel;
import sorrelhoist.routing.RoutingActions.CloseIdle;
import sorrelhoist.routing.RoutingActions.Fail;
import sorrelhoist.routing.RoutingActions.FetchList;
import sorrelhoist.routing.RoutingActions.Follow;
import sorrelhoist.routing.RoutingActions.Log;
import sorrelhoist.routing.RoutingActions.Move;
import sorrelhoist.routing.RoutingActions.Probe;
import sorrelhoist.routing.RoutingActions.Refuse;
import sorrelhoist.routing.RoutingActions.Release;
import sorrelhoist.routing.RoutingActions.Reserve;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingActions.Tell;
import sorrelhoist.routing.RoutingActions.Timer;
import sorrelhoist.routing.RoutingEvents.Arrived;
import sorrelhoist.routing.RoutingEvents.AttemptEnded;
import sorrelhoist.routing.RoutingEvents.ClientGone;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Members;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.PeerMessage;
import sorrelhoist.routing.RoutingEvents.PlaceAnswered;
import sorrelhoist.routing.RoutingEvents.ProbeAnswered;
import sorrelhoist.routing.RoutingEvents.Seated;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerLoad;
import sorrelhoist.routing.RoutingEvents.ServerState;
import sorrelhoist.routing.RoutingEvents.StreamStarted;
import sorrelhoist.routing.RoutingEvents.TimerFired;
import sorrelhoist.routing.RoutingSettings;
import sorrelhoist.routing.RoutingSettings.Capabilities;
import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.IdempotencyScope;
import sorrelhoist.routing.RoutingSettings.LoadReportMode;
import sorrelhoist.routing.RoutingSettings.RequestClass;
import sorrelhoist.routing.RoutingSettings.Role;
import sorrelhoist.routing.RoutingSettings.ServerKind;
import sorrelhoist.routing.RoutingSettings.ServerLimits;
import sorrelhoist.routing.RoutingSettings.Tenant;

/**
 * Reads a segment file that was written by commit 40a42e7, before types and components were
 * renamed. It contains every kind of entry, event and action and every constant of every enum that
 * existed then. Constants are listed explicitly, never taken from {@code values()}: they are stored
 * by their order, and this test has to fail if that order changes.
 */
class StoredRecordTest {
    private static final Path FILE = Path.of("src/test/resources/stored/segment.rec");

    private static final Reason REASON =
            new Reason(Reason.Kind.UNSEEN, 30_000, 1_004_000, 1, 2, 3, 25_000, "r2", 26_000);

    private static final List<Reason.Kind> KINDS =
            List.of(
                    Reason.Kind.UNKNOWN,
                    Reason.Kind.KEPT,
                    Reason.Kind.CHEAPEST,
                    Reason.Kind.UNSEEN,
                    Reason.Kind.SHIFTED,
                    Reason.Kind.UNJAMMED,
                    Reason.Kind.TRIAL,
                    Reason.Kind.MIXED,
                    Reason.Kind.WRITER_READS,
                    Reason.Kind.TWO_DRAWS,
                    Reason.Kind.DOOR,
                    Reason.Kind.DOOR_LESS_WORTH,
                    Reason.Kind.DOOR_SHARE,
                    Reason.Kind.NO_SERVER,
                    Reason.Kind.DRAINING,
                    Reason.Kind.COLD,
                    Reason.Kind.REPEAT_UNSAFE,
                    Reason.Kind.REPEAT_BUDGET,
                    Reason.Kind.ATTEMPTS,
                    Reason.Kind.TOLD_FULL,
                    Reason.Kind.DEADLINE,
                    Reason.Kind.HELD_TOO_LONG,
                    Reason.Kind.CLIENT_GONE,
                    Reason.Kind.ROUTER_FULL);

    private static final List<Outcome> OUTCOMES =
            List.of(
                    Outcome.DONE,
                    Outcome.READ,
                    Outcome.ERROR,
                    Outcome.FULL,
                    Outcome.TIMED_OUT,
                    Outcome.CONNECT_FAILED,
                    Outcome.RESET,
                    Outcome.CANCELLED,
                    Outcome.SKIPPED);

    private static final List<RecordEntry.Completion> COMPLETIONS =
            List.of(
                    RecordEntry.Completion.SERVED,
                    RecordEntry.Completion.REFUSED,
                    RecordEntry.Completion.FAILED,
                    RecordEntry.Completion.STALLED,
                    RecordEntry.Completion.LEFT);

    private static RecordEntry.Header header(long incarnation, LoadReportMode reports) {
        RoutingSettings settings =
                new RoutingSettings(
                        3,
                        1,
                        2,
                        true,
                        0.5,
                        reports,
                        List.of(
                                new RequestClass(
                                        1_000_000,
                                        40_000,
                                        1,
                                        Idempotency.SAFE,
                                        IdempotencyScope.ALL,
                                        0),
                                new RequestClass(
                                        2, 3, 4.25, Idempotency.KEYED, IdempotencyScope.ZONE, 5),
                                new RequestClass(
                                        6, 7, 8, Idempotency.UNSAFE, IdempotencyScope.CELL, 9)),
                        List.of(new Tenant(2.5), new Tenant(0.1)),
                        List.of(
                                new ServerKind(Role.READ, 1000),
                                new ServerKind(Role.WRITE, 2000),
                                new ServerKind(Role.BOTH, 3000)),
                        new Capabilities(6, true, false, true, 2000, false, true, 0.003, 0.004),
                        new ServerLimits(0.26, 2000, 3, 3000, 500));
        return new RecordEntry.Header("0.2.0", "edge-1", incarnation, settings, -5);
    }

    private static List<RecordEntry> membership() {
        List<Server> servers =
                List.of(
                        new Server("r1", 0, 0, 2, ServerState.SERVING, 1.5, -9),
                        new Server("r2", 1, 1, 3, ServerState.DRAINING, 1, 0),
                        new Server("r3", 2, 2, 4, ServerState.GONE, 0.25, 1L << 40));
        return List.of(
                new RecordEntry.Decision(
                        1,
                        new Members(ListUpdateKind.COMPLETE, servers),
                        List.of(new Timer(250_000, 1L << 60), new Follow(true))),
                new RecordEntry.Decision(
                        2, new Members(ListUpdateKind.UPDATE, servers), List.of(new FetchList())),
                new RecordEntry.Decision(
                        3, new Members(ListUpdateKind.RESTORED, List.of()), List.of()),
                new RecordEntry.Decision(
                        4, new Members(ListUpdateKind.UNAVAILABLE, List.of()), List.of()),
                new RecordEntry.KnowledgeAdopted(
                        5,
                        6_000_000,
                        new Knowledge(
                                List.of(
                                        new Knowledge.PrefixEntry(
                                                "session",
                                                7,
                                                8,
                                                List.of(new Knowledge.PrefixHolder("r1", -9, 10)))),
                                List.of(new Knowledge.ServerHealth("r2", 11, 0.125, 1.75, 12)),
                                List.of(new Knowledge.RegressionSums(1, 2, 3, 4, 5)),
                                new Knowledge.RegressionSums(6, 7, 8, 9, 10.5))),
                new RecordEntry.Decision(13, new Seated(7, 3), List.of()),
                new RecordEntry.Decision(
                        14,
                        new PeerMessage(2, "x=\u00e9"),
                        List.of(new Log("a line"), new Tell(-1, "b"))),
                new RecordEntry.Marker(15, "here"));
    }

    private static List<RecordEntry> requests() {
        List<RecordEntry> entries = new ArrayList<>();
        entries.add(
                new RecordEntry.RequestSubmitted(
                        2, 5, 4, "edge-1.x.5", "mine", 0x1234567890L, 4_000_000, 17));
        entries.add(
                new RecordEntry.Decision(
                        2,
                        new Arrived(5, 1, 1, "s", null, 100, 50, 20, 4_000_000, true),
                        List.of(new Send(5, "r1", 4_000_002, REASON), new Reserve(5, "r2"))));
        entries.add(
                new RecordEntry.Decision(
                        3,
                        new Arrived(6, 0, 0, null, "p", 1, 0, 2, 3),
                        List.of(new Refuse(6, 1_500, REASON))));
        entries.add(
                new RecordEntry.Decision(
                        4,
                        new StreamStarted(5, 1, "r2", 900),
                        List.of(new Cancel(5, 0, REASON), new Move(5), new CloseIdle("r1"))));
        entries.add(
                new RecordEntry.Decision(
                        5,
                        new PlaceAnswered(5, "r2", true),
                        List.of(new Fail(5, REASON), new Probe("r1"))));
        entries.add(
                new RecordEntry.Decision(
                        6,
                        new ProbeAnswered(
                                "r1", Outcome.DONE, 12, new ServerLoad(0.25, Double.NaN, 3, 1e300)),
                        List.of(new Follow(false))));
        entries.add(new RecordEntry.Decision(7, new TimerFired(1L << 60), List.of(new Release(5))));
        entries.add(new RecordEntry.Decision(8, new ClientGone(5), List.of()));
        return entries;
    }

    private static List<RecordEntry> constants() {
        List<RecordEntry> entries = new ArrayList<>();
        entries.add(new RecordEntry.EntriesDropped(41));
        for (Outcome outcome : OUTCOMES) {
            entries.add(
                    new RecordEntry.Decision(
                            10,
                            new AttemptEnded(5, 2, "r1", outcome, 77, true, 88, ServerLoad.NONE),
                            List.of()));
        }
        List<Action> refusals = new ArrayList<>();
        for (Reason.Kind kind : KINDS) {
            refusals.add(new Refuse(5, 0, Reason.of(kind)));
        }
        entries.add(new RecordEntry.Decision(11, new TimerFired(5), refusals));
        for (RecordEntry.Completion end : COMPLETIONS) {
            entries.add(new RecordEntry.RequestCompleted(12, 4, end, 21, Long.MAX_VALUE, REASON));
        }
        return entries;
    }

    private static byte[] written() {
        BinaryWriter out =
                new BinaryWriter()
                        .writeBytes(ChunkCodec.fileHeader(), ChunkCodec.fileHeader().length);
        ChunkWriter writer = new ChunkWriter();
        byte[] chunk = chunk(writer, 0, header(77, LoadReportMode.NONE), membership());
        out.writeBytes(chunk, chunk.length);
        chunk = chunk(writer, 8, header(78, LoadReportMode.IN_OUTCOMES), requests());
        out.writeBytes(chunk, chunk.length);
        chunk = chunk(writer, 300, header(79, LoadReportMode.IN_PROBES), constants());
        out.writeBytes(chunk, chunk.length);
        return out.toByteArray();
    }

    private static byte[] chunk(
            ChunkWriter writer, long first, RecordEntry.Header header, List<RecordEntry> entries) {
        writer.begin(first, header);
        entries.forEach(writer::write);
        return writer.end();
    }

    @Test
    void aStoredSegmentIsReadWithItsContent() throws IOException {
        DecodedSegment read = SegmentReader.read(Files.readAllBytes(FILE));
        assertEquals(List.of(), read.faults());
        assertEquals(
                List.of(
                        new Chunk(0, header(77, LoadReportMode.NONE), membership()),
                        new Chunk(8, header(78, LoadReportMode.IN_OUTCOMES), requests()),
                        new Chunk(300, header(79, LoadReportMode.IN_PROBES), constants())),
                read.chunks());
    }

    @Test
    void aStoredSegmentIsWrittenAgainWithTheSameBytes() throws IOException {
        assertArrayEquals(Files.readAllBytes(FILE), written());
    }
}
