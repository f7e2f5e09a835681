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
import sorrelhoist.routing.Routing.*;

/**
 * A disk that is slow, full or away costs the record its chunks, says so, and costs nobody else
 * anything.
 */
class RecordWorkTest {
    private static final RoutingSettings DECIDE =
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
                    DECIDE,
                    new RequestTimeouts(List.of(4_000_000L), List.of(0L), 0),
                    StreamSettings.ofTokens(true, 1),
                    100,
                    ReleaseReach.HOLDER,
                    7);
    private static final SegmentRetention.Limits ROOMY =
            new SegmentRetention.Limits(1 << 20, 1 << 30, Long.MAX_VALUE / 2, 1 << 30);

    @TempDir Path folder;

    private RecordWork work(RecordFolder on, SegmentRetention.Limits bounds) throws IOException {
        return new RecordWork(on, bounds, ROUTER);
    }

    private static void tell(RecordWork work, int from, int count) {
        for (int i = from; i < from + count; i++) {
            work.tap()
                    .onDecision(
                            i, new PeerMessage(i, "some news of servers, number " + i), List.of());
        }
    }

    private Recording tape() throws IOException, CorruptRecordException {
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

    /** All but the mark at the end, which says by its number that nothing is missing before it. */
    private static void allThatIsThereIsRight(Recording tape) {
        for (Recording.NumberedEntry l : tape.entries().subList(0, tape.entries().size() - 1)) {
            assertEquals(
                    l.number(), ((PeerMessage) ((RecordEntry.Decision) l.entry()).event()).from());
        }
    }

    @Test
    void whatIsToldIsThereAfterTheEnd() throws Exception {
        RecordWork work = work(new RecordFolder(folder), ROOMY);
        tell(work, 0, 50_000);
        work.stop(1_000_000);
        Recording tape = tape();
        assertTrue(tape.isComplete() && tape.faults().isEmpty());
        assertEquals(50_001, tape.entries().size());
        allThatIsThereIsRight(tape);
    }

    @Test
    void aDiskThatHangsCostsChunksThatAreCounted() throws Exception {
        CountDownLatch hangs = new CountDownLatch(1);
        RecordWork work =
                work(
                        new RecordFolder(folder) {
                            @Override
                            protected void append(String name, byte[] chunk) throws IOException {
                                try {
                                    hangs.await();
                                } catch (InterruptedException e) {
                                    throw new IOException(e);
                                }
                                super.append(name, chunk);
                            }
                        },
                        ROOMY);
        int told = 600_000; // more than may wait
        tell(work, 0, told);
        hangs.countDown();
        while (work.pending() > 0) {
            work.slice(n -> {});
            Thread.onSpinWait();
        }
        tell(work, told, 1000);
        work.stop(told + 1000);
        Recording tape = tape();
        assertEquals(1, tape.gaps().size());
        long missing = tape.gaps().get(0)[1] - tape.gaps().get(0)[0];
        assertTrue(missing > 0);
        assertEquals(told + 1000, tape.entries().size() - 1 + missing);
        allThatIsThereIsRight(tape);
    }

    @Test
    void aDiskThatIsFullForAWhileLeavesAGapAndSoundFiles() throws Exception {
        int[] writes = {0};
        RecordWork work =
                work(
                        new RecordFolder(folder) {
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
                        ROOMY);
        tell(work, 0, 20_000);
        work.stop(1_000_000);
        Recording tape = tape();
        assertEquals(1, tape.gaps().size());
        assertEquals(List.of(), tape.faults());
        assertEquals(20_001, tape.entries().size() + tape.gaps().get(0)[1] - tape.gaps().get(0)[0]);
        allThatIsThereIsRight(tape);
    }

    @Test
    void theWindowIsBoundedAndWhatIsKeptStays() throws Exception {
        RecordWork work =
                work(
                        new RecordFolder(folder),
                        new SegmentRetention.Limits(
                                200_000, 800_000, Long.MAX_VALUE / 2, 10_000_000));
        tell(work, 0, 50_000);
        work.keep(50_000, "somebody asked");
        tell(work, 50_001, 100_000);
        work.stop(1_000_000);
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
        assertTrue(kept > 500_000 && kept <= 900_000, kept + " kept");
        assertTrue(others > 500_000 && others <= 900_000, others + " others");
        assertTrue(
                tape().entries().stream()
                        .anyMatch(
                                l ->
                                        l.entry() instanceof RecordEntry.Marker m
                                                && m.text().equals("somebody asked")));
    }

    @Test
    void whoeverPutsTheFileThereGetsItKept() throws Exception {
        RecordWork work = work(new RecordFolder(folder), ROOMY);
        tell(work, 0, 5000);
        Files.write(folder.resolve(RecordFolder.KEEP), new byte[0]);
        tell(work, 5000, 5000);
        work.stop(1_000_000);
        assertFalse(Files.exists(folder.resolve(RecordFolder.KEEP)));
        try (Stream<Path> list = Files.list(folder)) {
            assertTrue(list.anyMatch(f -> f.getFileName().toString().startsWith("kept-")));
        }
        assertEquals(10_001, tape().entries().size());
    }

    @Test
    void aSecondLifeLeavesTheFirstOnesFilesAndCountsThem() throws Exception {
        RecordWork first = work(new RecordFolder(folder), ROOMY);
        tell(first, 0, 1000);
        first.stop(1000);
        RecordWork second =
                new RecordWork(
                        new RecordFolder(folder),
                        ROOMY,
                        new RouterSettings(
                                new RouterIdentity("edge-1", 43),
                                DECIDE,
                                new RequestTimeouts(List.of(4_000_000L), List.of(0L), 0),
                                StreamSettings.ofTokens(true, 1),
                                100,
                                ReleaseReach.HOLDER,
                                7));
        tell(second, 0, 10);
        second.stop(10);
        Recording tape = tape();
        assertEquals(43, tape.header().incarnation());
        assertEquals(11, tape.entries().size());
        assertEquals(1, tape.faults().size(), tape.faults().toString());
    }
}
