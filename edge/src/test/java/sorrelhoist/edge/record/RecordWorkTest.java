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
import sorrelhoist.Routing.*;
import sorrelhoist.core.life.RouterSettings;
import sorrelhoist.core.record.Entry;
import sorrelhoist.core.record.Shelf;
import sorrelhoist.core.record.Tape;
import sorrelhoist.core.record.Unreadable;

/**
 * A disk that is slow, full or away costs the record its chunks, says so, and costs nobody else
 * anything.
 */
class RecordWorkTest {
    private static final Settings DECIDE =
            new Settings(
                    1,
                    0,
                    0,
                    false,
                    0.5,
                    Reports.NONE,
                    List.of(new RequestClass(1_000_000, 0, 1, Repeat.SAFE, Scope.ALL, 0)),
                    List.of(),
                    List.of(new Kind(Role.READ, 1000), new Kind(Role.WRITE, 1000)),
                    new Limits(6, true, true, true, 2000, false, true, 0.003, 0.003),
                    new Rules(0.26, 2000, 3, 3000, 500_000));
    private static final RouterSettings ROUTER =
            new RouterSettings(
                    "edge-1", 42, DECIDE, List.of(4_000_000L), List.of(0L), 0, true, 1, 100, 7);
    private static final Shelf.Bounds ROOMY =
            new Shelf.Bounds(1 << 20, 1 << 30, Long.MAX_VALUE / 2, 1 << 30);

    @TempDir Path folder;

    private RecordWork work(RecordFolder on, Shelf.Bounds bounds) throws IOException {
        return new RecordWork(on, bounds, ROUTER);
    }

    private static void tell(RecordWork work, int from, int count) {
        for (int i = from; i < from + count; i++) {
            work.tap().told(i, new PeerMessage(i, "some news of servers, number " + i), List.of());
        }
    }

    private Tape tape() throws IOException, Unreadable {
        List<byte[]> files = new ArrayList<>();
        try (Stream<Path> list = Files.list(folder)) {
            for (Path f : list.filter(p -> p.toString().endsWith(Shelf.SUFFIX)).toList()) {
                files.add(Files.readAllBytes(f));
            }
        }
        return Tape.of(files);
    }

    /** All but the mark at the end, which says by its number that nothing is missing before it. */
    private static void allThatIsThereIsRight(Tape tape) {
        for (Tape.Line l : tape.lines().subList(0, tape.lines().size() - 1)) {
            assertEquals(l.number(), ((PeerMessage) ((Entry.Told) l.entry()).event()).from());
        }
    }

    @Test
    void whatIsToldIsThereAfterTheEnd() throws Exception {
        RecordWork work = work(new RecordFolder(folder), ROOMY);
        tell(work, 0, 50_000);
        work.stop(1_000_000);
        Tape tape = tape();
        assertTrue(tape.isWhole() && tape.faults().isEmpty());
        assertEquals(50_001, tape.lines().size());
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
        Tape tape = tape();
        assertEquals(1, tape.gaps().size());
        long missing = tape.gaps().get(0)[1] - tape.gaps().get(0)[0];
        assertTrue(missing > 0);
        assertEquals(told + 1000, tape.lines().size() - 1 + missing);
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
        Tape tape = tape();
        assertEquals(1, tape.gaps().size());
        assertEquals(List.of(), tape.faults());
        assertEquals(20_001, tape.lines().size() + tape.gaps().get(0)[1] - tape.gaps().get(0)[0]);
        allThatIsThereIsRight(tape);
    }

    @Test
    void theWindowIsBoundedAndWhatIsKeptStays() throws Exception {
        RecordWork work =
                work(
                        new RecordFolder(folder),
                        new Shelf.Bounds(200_000, 800_000, Long.MAX_VALUE / 2, 10_000_000));
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
                tape().lines().stream()
                        .anyMatch(
                                l ->
                                        l.entry() instanceof Entry.Marked m
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
        assertEquals(10_001, tape().lines().size());
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
                                "edge-1",
                                43,
                                DECIDE,
                                List.of(4_000_000L),
                                List.of(0L),
                                0,
                                true,
                                1,
                                100,
                                7));
        tell(second, 0, 10);
        second.stop(10);
        Tape tape = tape();
        assertEquals(43, tape.head().incarnation());
        assertEquals(11, tape.lines().size());
        assertEquals(1, tape.faults().size(), tape.faults().toString());
    }
}
