package sorrelhoist.core.record;

import java.util.ArrayList;
import java.util.List;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.RoutingActions.Follow;
import sorrelhoist.routing.RoutingActions.Log;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingActions.Tell;
import sorrelhoist.routing.RoutingActions.Timer;
import sorrelhoist.routing.RoutingEvents.Arrived;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Members;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.PeerMessage;
import sorrelhoist.routing.RoutingEvents.ProbeAnswered;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerLoad;
import sorrelhoist.routing.RoutingEvents.ServerState;
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

/** A short recording for the tests of this package. */
final class RecordFixtures {
    private static final RoutingSettings SETTINGS =
            new RoutingSettings(
                    3,
                    1,
                    0,
                    false,
                    0.5,
                    LoadReportMode.IN_OUTCOMES,
                    List.of(
                            new RequestClass(
                                    1_000_000,
                                    40_000,
                                    1,
                                    Idempotency.SAFE,
                                    IdempotencyScope.ALL,
                                    0)),
                    List.of(new Tenant(2.5)),
                    List.of(new ServerKind(Role.READ, 1000), new ServerKind(Role.WRITE, 1000)),
                    new Capabilities(6, true, true, true, 2000, false, true, 0.003, 0.003),
                    new ServerLimits(0.26, 2000, 3, 3000, 500));

    static final RecordEntry.Header HEADER =
            new RecordEntry.Header("0.2.0", "edge-1", 77, SETTINGS, -5);

    private static final Reason REASON =
            new Reason(
                    Reason.Kind.UNSEEN,
                    30_000,
                    1_004_000,
                    Double.NaN,
                    Double.NaN,
                    Double.NaN,
                    25_000,
                    "r2",
                    26_000);

    static final List<RecordEntry> ENTRIES =
            List.of(
                    new RecordEntry.Decision(
                            1,
                            new Members(
                                    ListUpdateKind.COMPLETE,
                                    List.of(
                                            new Server(
                                                    "r1", 0, 0, 2, ServerState.SERVING, 1.5, -9))),
                            List.of(new Timer(250_000, 1L << 60), new Follow(true))),
                    new RecordEntry.RequestSubmitted(
                            2, 5, 4, "edge-1.x.5", "mine", 0x1234567890L, 4_000_000, 0),
                    new RecordEntry.Decision(
                            2,
                            new Arrived(5, 0, 0, "s", null, 100, 0, 20, 4_000_000),
                            List.of(new Send(5, "r1", 4_000_002, REASON))),
                    new RecordEntry.Decision(
                            3,
                            new ProbeAnswered(
                                    "r1",
                                    Outcome.DONE,
                                    12,
                                    new ServerLoad(0.25, Double.NaN, 3, 1e300)),
                            List.of()),
                    new RecordEntry.Decision(
                            3,
                            new PeerMessage(2, "x=\u00e9"),
                            List.of(new Log("a"), new Tell(-1, "b"))),
                    new RecordEntry.RequestCompleted(
                            9,
                            4,
                            RecordEntry.Completion.REFUSED,
                            0,
                            123,
                            Reason.compared(Reason.Kind.REPEAT_BUDGET, 0, 1)),
                    new RecordEntry.Marker(10, "here"));

    private RecordFixtures() {}

    /** {@return a segment file of {@link #ENTRIES} with this number of entries in each chunk} */
    static byte[] file(int entriesPerChunk) {
        List<byte[]> chunks = new ArrayList<>();
        ChunkWriter writer = new ChunkWriter();
        for (int i = 0; i < ENTRIES.size(); i += entriesPerChunk) {
            writer.begin(i, HEADER);
            ENTRIES.subList(i, Math.min(ENTRIES.size(), i + entriesPerChunk))
                    .forEach(writer::write);
            chunks.add(writer.end());
        }
        return file(chunks);
    }

    /** {@return a segment file of these chunks} */
    static byte[] file(List<byte[]> chunks) {
        BinaryWriter file = new BinaryWriter();
        file.writeBytes(ChunkCodec.fileHeader(), ChunkCodec.fileHeader().length);
        chunks.forEach(chunk -> file.writeBytes(chunk, chunk.length));
        return file.toByteArray();
    }

    static List<RecordEntry> entries(Recording recording) {
        return recording.entries().stream().map(Recording.NumberedEntry::entry).toList();
    }
}
