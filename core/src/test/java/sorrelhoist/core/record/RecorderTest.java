package sorrelhoist.core.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Chunks that a recorder passes to its sink, and its reports of dropped entries. */
class RecorderTest {
    @Test
    void droppedEntriesAreCountedAndShowAsAGap() throws CorruptRecordException {
        List<byte[]> taken = new ArrayList<>();
        boolean[] hasRoom = {true};
        Recorder recorder =
                new Recorder(RecordFixtures.HEADER, chunk -> hasRoom[0] && taken.add(chunk));
        for (int i = 0; i < 6; i++) {
            hasRoom[0] = i < 2 || i == 5;
            recorder.addMarker(i, "mark " + i);
            recorder.addMarker(i, "again " + i);
            recorder.flush();
        }
        assertEquals(0, recorder.droppedEntries());
        byte[] file = RecordFixtures.file(taken);
        Recording recording = Recording.of(List.of(file));
        assertFalse(recording.isComplete());
        assertEquals(1, recording.gaps().size());
        assertEquals(new Recording.Gap(4, 10), recording.gaps().get(0));
        assertEquals(
                List.of(0L, 1L, 2L, 3L, 10L, 11L),
                recording.entries().stream().map(Recording.NumberedEntry::number).toList());
        Chunk last = SegmentReader.read(file).chunks().get(2);
        assertTrue(last.entries().contains(new RecordEntry.EntriesDropped(6)));
    }

    @Test
    void promptsAreKeptAsHashesOnly() {
        List<byte[]> taken = new ArrayList<>();
        Recorder recorder = new Recorder(RecordFixtures.HEADER, taken::add);
        recorder.onRequestSubmitted(
                new RecordEntry.RequestSubmitted(1, 2, 3, "n", "c", 0, 0, 0), "a secret question");
        recorder.flush();
        assertFalse(new String(taken.get(0), StandardCharsets.ISO_8859_1).contains("secret"));
    }
}
