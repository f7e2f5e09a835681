package sorrelhoist.core.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

import sorrelhoist.routing.Reason;
import sorrelhoist.routing.Routing.*;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/** The record's bytes: exact, bounded, and honest about what is missing. */
class RecordTest {
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
    private static final RecordEntry.Header HEAD =
            new RecordEntry.Header("0.2.0", "edge-1", 77, SETTINGS, -5);

    private static final List<RecordEntry> ENTRIES =
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
                            List.of(
                                    new Send(
                                            5,
                                            "r1",
                                            4_000_002,
                                            new Reason(
                                                    Reason.Kind.UNSEEN,
                                                    30_000,
                                                    1_004_000,
                                                    Double.NaN,
                                                    Double.NaN,
                                                    Double.NaN,
                                                    25_000,
                                                    "r2",
                                                    26_000)))),
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

    private static byte[] file(int perChunk) {
        List<byte[]> parts = new ArrayList<>(List.of(ChunkCodec.fileHeader()));
        ChunkWriter w = new ChunkWriter();
        for (int i = 0; i < ENTRIES.size(); i += perChunk) {
            w.begin(i, HEAD);
            ENTRIES.subList(i, Math.min(ENTRIES.size(), i + perChunk)).forEach(w::write);
            parts.add(w.end());
        }
        BinaryWriter all = new BinaryWriter();
        parts.forEach(p -> all.writeBytes(p, p.length));
        return all.toByteArray();
    }

    private static List<RecordEntry> entries(Recording tape) {
        return tape.entries().stream().map(Recording.NumberedEntry::entry).toList();
    }

    @Test
    void whatGoesInComesOut() throws CorruptRecordException {
        for (int perChunk = 1; perChunk <= ENTRIES.size(); perChunk++) {
            Recording tape = Recording.of(List.of(file(perChunk)));
            assertEquals(HEAD, tape.header());
            assertEquals(ENTRIES, entries(tape));
            assertTrue(tape.isComplete());
            assertEquals(ENTRIES, entries(Recording.of(List.of(tape.toFileBytes()))));
        }
    }

    @Test
    void aFileCutAnywhereGivesItsWholeChunksAndNoFault() {
        byte[] file = file(2);
        int most = 0;
        for (int length = 0; length <= file.length; length++) {
            DecodedSegment read = SegmentReader.read(Arrays.copyOf(file, length));
            assertEquals(List.of(), read.faults(), "at " + length);
            assertTrue(read.chunks().size() >= most, "at " + length);
            most = read.chunks().size();
        }
        assertEquals(4, most);
    }

    @Test
    void aDamagedByteCostsItsChunkAndIsSaid() throws CorruptRecordException {
        byte[] file = file(2);
        for (int at = ChunkCodec.fileHeader().length; at < file.length; at++) {
            byte[] bad = file.clone();
            bad[at] ^= 0x10;
            DecodedSegment read = SegmentReader.read(bad);
            assertTrue(read.chunks().size() < 4, "at " + at);
            if (read.chunks().size() == 3 && read.chunks().get(2).firstNumber() == 6) {
                assertFalse(Recording.of(List.of(bad)).isComplete(), "at " + at);
                assertFalse(read.faults().isEmpty());
            }
        }
        byte[] foreign = file.clone();
        foreign[2] = 'x';
        assertTrue(SegmentReader.read(foreign).foreign());
        foreign = file.clone();
        foreign[7] = '9';
        assertEquals(
                "a record of another version of the form",
                SegmentReader.read(foreign).faults().get(0));
        assertThrows(
                CorruptRecordException.class, () -> Recording.of(List.of(ChunkCodec.fileHeader())));
    }

    /**
     * Whatever stands behind a right checksum, reading it ends, and costs no more than its length.
     */
    @Test
    void noiseBehindARightChecksumIsRefused() {
        SplittableRandom random = new SplittableRandom(4);
        ChunkWriter w = new ChunkWriter();
        int refused = 0;
        for (int i = 0; i < 20_000; i++) {
            w.begin(0, HEAD);
            ENTRIES.forEach(w::write);
            byte[] chunk = w.end();
            for (int k = 0; k < 3; k++) {
                chunk[12 + random.nextInt(chunk.length - 12)] = (byte) random.nextInt();
            }
            long sum =
                    net.openhft.hashing.LongHashFunction.xx3()
                            .hashBytes(chunk, 12, chunk.length - 12);
            byte[] framed =
                    new BinaryWriter().writeInt(chunk.length - 12).writeLong(sum).toByteArray();
            System.arraycopy(framed, 0, chunk, 0, 12);
            byte[] file =
                    new BinaryWriter()
                            .writeBytes(ChunkCodec.fileHeader(), 8)
                            .writeBytes(chunk, chunk.length)
                            .toByteArray();
            refused += SegmentReader.read(file).faults().isEmpty() ? 0 : 1;
        }
        assertTrue(refused > 1000, refused + " refused");
    }

    @Test
    void whatIsDroppedIsCountedAndShows() throws CorruptRecordException {
        List<byte[]> taken = new ArrayList<>();
        boolean[] room = {true};
        Recorder recorder = new Recorder(HEAD, c -> room[0] && taken.add(c));
        for (int i = 0; i < 6; i++) {
            room[0] = i < 2 || i == 5;
            recorder.addMarker(i, "mark " + i);
            recorder.addMarker(i, "again " + i);
            recorder.flush();
        }
        assertEquals(0, recorder.droppedEntries());
        byte[] file = ChunkCodec.fileHeader();
        for (byte[] c : taken) {
            file =
                    new BinaryWriter()
                            .writeBytes(file, file.length)
                            .writeBytes(c, c.length)
                            .toByteArray();
        }
        Recording tape = Recording.of(List.of(file));
        assertFalse(tape.isComplete());
        assertEquals(1, tape.gaps().size());
        assertEquals(List.of(new Recording.Gap(4, 10)), tape.gaps());
        assertEquals(
                List.of(0L, 1L, 2L, 3L, 10L, 11L),
                tape.entries().stream().map(Recording.NumberedEntry::number).toList());
        assertTrue(
                SegmentReader.read(file)
                        .chunks()
                        .get(2)
                        .entries()
                        .contains(new RecordEntry.EntriesDropped(6)));
    }

    @Test
    void aChunkThatIsThereTwiceCountsOnce() throws CorruptRecordException {
        byte[] file = file(2);
        assertEquals(ENTRIES, entries(Recording.of(List.of(file, file))));
    }

    record Before(long a, String b) {}

    record After(long a, String b, double c, Reason why, List<String> d) {}

    private static final StringCodec PLAIN =
            new StringCodec() {
                @Override
                public void write(BinaryWriter out, String text) {
                    out.writeString(text == null ? "" : text);
                }

                @Override
                public String read(BinaryReader in) throws CorruptRecordException {
                    return in.readString();
                }
            };

    @Test
    void buildsThatDifferByAFieldReadEachOther() throws CorruptRecordException {
        BinaryWriter old = new BinaryWriter();
        RecordCodec.of(Before.class).write(old, new Before(-3, "x"), PLAIN);
        After read =
                RecordCodec.of(After.class)
                        .read(new BinaryReader(old.toByteArray(), 0, old.size()), PLAIN);
        assertEquals(new After(-3, "x", Double.NaN, Reason.UNKNOWN, List.of()), read);
        BinaryWriter later = new BinaryWriter();
        RecordCodec.of(After.class)
                .write(
                        later,
                        new After(9, "y", 0.5, Reason.of(Reason.Kind.COLD), List.of("z")),
                        PLAIN);
        assertEquals(
                new Before(9, "y"),
                RecordCodec.of(Before.class)
                        .read(new BinaryReader(later.toByteArray(), 0, later.size()), PLAIN));
    }

    @Test
    void promptsAreKeptAsHashesOnly() {
        List<byte[]> taken = new ArrayList<>();
        Recorder recorder = new Recorder(HEAD, taken::add);
        recorder.onRequestSubmitted(
                new RecordEntry.RequestSubmitted(1, 2, 3, "n", "c", 0, 0, 0), "a secret question");
        recorder.flush();
        assertFalse(
                new String(taken.get(0), java.nio.charset.StandardCharsets.ISO_8859_1)
                        .contains("secret"));
    }
}
