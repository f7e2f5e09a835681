package sorrelhoist.edge.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sorrelhoist.core.record.CorruptRecordException;
import sorrelhoist.core.record.RecordEntry;
import sorrelhoist.core.record.Recording;
import sorrelhoist.core.record.SegmentRetention;
import sorrelhoist.core.request.RequestTimeouts;
import sorrelhoist.core.request.RouterIdentity;
import sorrelhoist.core.request.RouterSettings;
import sorrelhoist.core.request.StreamSettings;
import sorrelhoist.core.reservation.ReleaseReach;
import sorrelhoist.routing.RoutingEvents.PeerMessage;
import sorrelhoist.routing.RoutingSettings;
import sorrelhoist.routing.RoutingSettings.Capabilities;
import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.IdempotencyScope;
import sorrelhoist.routing.RoutingSettings.LoadReportMode;
import sorrelhoist.routing.RoutingSettings.RequestClass;
import sorrelhoist.routing.RoutingSettings.Role;
import sorrelhoist.routing.RoutingSettings.ServerKind;
import sorrelhoist.routing.RoutingSettings.ServerLimits;

/**
 * Tests that a slow, full or failing disk makes the record drop chunks, that the dropped chunks are
 * marked and counted, that the files stay valid, and that the router is not blocked.
 */
class RecordWriterTest {
    private static final RoutingSettings ROUTING =
            new RoutingSettings(
                    1,
                    0,
                    0,
                    false,
                    0.5,
                    LoadReportMode.NONE,
                    List.of(
                            new RequestClass(
                                    1_000_000, 0, 1, Idempotency.SAFE, IdempotencyScope.ALL, 0)),
                    List.of(),
                    List.of(new ServerKind(Role.READ, 1000), new ServerKind(Role.WRITE, 1000)),
                    new Capabilities(6, true, true, true, 2000, false, true, 0.003, 0.003),
                    new ServerLimits(0.26, 2000, 3, 3000, 500_000));
    private static final RouterSettings ROUTER =
            new RouterSettings(
                    new RouterIdentity("edge-1", 42),
                    ROUTING,
                    new RequestTimeouts(List.of(4_000_000L), List.of(0L), 0),
                    StreamSettings.ofTokens(true, 1),
                    100,
                    ReleaseReach.HOLDER,
                    7);
    private static final SegmentRetention.Limits LARGE_LIMITS =
            new SegmentRetention.Limits(1 << 20, 1 << 30, Long.MAX_VALUE / 2, 1 << 30);

    @TempDir Path folder;

    private RecordWriter newWriter(RecordDirectory directory, SegmentRetention.Limits limits)
            throws IOException {
        return new RecordWriter(directory, limits, ROUTER);
    }

    private static void record(RecordWriter writer, int from, int count) {
        for (int i = from; i < from + count; i++) {
            writer.decisionListener()
                    .onDecision(
                            i, new PeerMessage(i, "some news of servers, number " + i), List.of());
        }
    }

    private Recording recording() throws IOException, CorruptRecordException {
        List<byte[]> files = new ArrayList<>();
        try (Stream<Path> list = Files.list(folder)) {
            for (Path f :
                    list.filter(p -> p.toString().endsWith(SegmentRetention.FILE_SUFFIX))
                            .toList()) {
                files.add(Files.readAllBytes(f));
            }
        }
        return Recording.of(files);
    }

    /**
     * Checks that each decision has the number at which it was recorded. Ignores the marker at the
     * end, whose own number shows whether entries before it are missing.
     */
    private static void assertEntriesAreInOrder(Recording recording) {
        for (Recording.NumberedEntry l :
                recording.entries().subList(0, recording.entries().size() - 1)) {
            assertEquals(
                    l.number(), ((PeerMessage) ((RecordEntry.Decision) l.entry()).event()).from());
        }
    }

    @Test
    void allDecisionsAreRecordedAfterStop() throws Exception {
        RecordWriter writer = newWriter(new RecordDirectory(folder), LARGE_LIMITS);
        record(writer, 0, 50_000);
        writer.stop(1_000_000);
        Recording recording = recording();
        assertTrue(recording.isComplete() && recording.faults().isEmpty());
        assertEquals(50_001, recording.entries().size());
        assertEntriesAreInOrder(recording);
    }

    @Test
    void hangingDiskDropsAndCountsChunks() throws Exception {
        CountDownLatch diskResumes = new CountDownLatch(1);
        RecordWriter writer =
                newWriter(
                        new RecordDirectory(folder) {
                            @Override
                            protected void append(String name, byte[] chunk) throws IOException {
                                try {
                                    diskResumes.await();
                                } catch (InterruptedException e) {
                                    throw new IOException(e);
                                }
                                super.append(name, chunk);
                            }
                        },
                        LARGE_LIMITS);
        int decisions = 600_000; // more than the limit of pending bytes
        record(writer, 0, decisions);
        diskResumes.countDown();
        while (writer.pendingBytes() > 0) {
            writer.runSlice(n -> {});
            Thread.onSpinWait();
        }
        record(writer, decisions, 1000);
        writer.stop(decisions + 1000);
        Recording recording = recording();
        assertEquals(1, recording.gaps().size());
        long missing =
                recording.gaps().get(0).nextPresent() - recording.gaps().get(0).firstMissing();
        assertTrue(missing > 0);
        assertEquals(decisions + 1000, recording.entries().size() - 1 + missing);
        assertEntriesAreInOrder(recording);
    }

    @Test
    void temporarilyFullDiskLeavesAGapAndValidFiles() throws Exception {
        int[] writes = {0};
        RecordWriter writer =
                newWriter(
                        new RecordDirectory(folder) {
                            @Override
                            protected void append(String name, byte[] chunk) throws IOException {
                                if (++writes[0] == 3 || writes[0] == 4) {
                                    super.append(
                                            name, java.util.Arrays.copyOf(chunk, chunk.length / 2));
                                    throw new IOException("no space left");
                                }
                                super.append(name, chunk);
                            }
                        },
                        LARGE_LIMITS);
        record(writer, 0, 20_000);
        writer.stop(1_000_000);
        Recording recording = recording();
        assertEquals(1, recording.gaps().size());
        assertEquals(List.of(), recording.faults());
        assertEquals(
                20_001,
                recording.entries().size()
                        + recording.gaps().get(0).nextPresent()
                        - recording.gaps().get(0).firstMissing());
        assertEntriesAreInOrder(recording);
    }

    @Test
    void windowIsBoundedAndPreservedFilesStay() throws Exception {
        RecordWriter writer =
                newWriter(
                        new RecordDirectory(folder),
                        new SegmentRetention.Limits(
                                200_000, 800_000, Long.MAX_VALUE / 2, 10_000_000));
        record(writer, 0, 50_000);
        writer.preserve(50_000, "somebody asked");
        record(writer, 50_001, 100_000);
        writer.stop(1_000_000);
        long kept = 0;
        long others = 0;
        try (Stream<Path> list = Files.list(folder)) {
            for (Path f : list.toList()) {
                if (f.getFileName().toString().startsWith("kept-")) {
                    kept += Files.size(f);
                } else {
                    others += Files.size(f);
                }
            }
        }
        assertTrue(kept > 500_000 && kept <= 900_000, kept + " bytes preserved");
        assertTrue(others > 500_000 && others <= 900_000, others + " bytes not preserved");
        assertTrue(
                recording().entries().stream()
                        .anyMatch(
                                l ->
                                        l.entry() instanceof RecordEntry.Marker m
                                                && m.text().equals("somebody asked")));
    }

    @Test
    void aPreserveRequestFilePreservesTheRecord() throws Exception {
        RecordWriter writer = newWriter(new RecordDirectory(folder), LARGE_LIMITS);
        record(writer, 0, 5000);
        Files.write(folder.resolve(RecordDirectory.PRESERVE_REQUEST_FILE), new byte[0]);
        record(writer, 5000, 5000);
        writer.stop(1_000_000);
        assertFalse(Files.exists(folder.resolve(RecordDirectory.PRESERVE_REQUEST_FILE)));
        try (Stream<Path> list = Files.list(folder)) {
            assertTrue(list.anyMatch(f -> f.getFileName().toString().startsWith("kept-")));
        }
        assertEquals(10_001, recording().entries().size());
    }

    @Test
    void secondIncarnationKeepsFilesOfTheFirstAndReportsThem() throws Exception {
        RecordWriter first = newWriter(new RecordDirectory(folder), LARGE_LIMITS);
        record(first, 0, 1000);
        first.stop(1000);
        RecordWriter second =
                new RecordWriter(
                        new RecordDirectory(folder),
                        LARGE_LIMITS,
                        new RouterSettings(
                                new RouterIdentity("edge-1", 43),
                                ROUTING,
                                new RequestTimeouts(List.of(4_000_000L), List.of(0L), 0),
                                StreamSettings.ofTokens(true, 1),
                                100,
                                ReleaseReach.HOLDER,
                                7));
        record(second, 0, 10);
        second.stop(10);
        Recording recording = recording();
        assertEquals(43, recording.header().incarnation());
        assertEquals(11, recording.entries().size());
        assertEquals(1, recording.faults().size(), recording.faults().toString());
    }
}
