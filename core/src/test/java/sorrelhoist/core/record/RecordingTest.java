package sorrelhoist.core.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Recordings that are combined from segment files and written as a single file. */
class RecordingTest {
    @Test
    void entriesAreReadAsTheyWereWritten() throws CorruptRecordException {
        for (int perChunk = 1; perChunk <= RecordFixtures.ENTRIES.size(); perChunk++) {
            Recording recording = Recording.of(List.of(RecordFixtures.file(perChunk)));
            assertEquals(RecordFixtures.HEADER, recording.header());
            assertEquals(RecordFixtures.ENTRIES, RecordFixtures.entries(recording));
            assertTrue(recording.isComplete());
            Recording rewritten = Recording.of(List.of(recording.toFileBytes()));
            assertEquals(RecordFixtures.ENTRIES, RecordFixtures.entries(rewritten));
        }
    }

    @Test
    void aChunkThatIsFoundTwiceCountsOnce() throws CorruptRecordException {
        byte[] file = RecordFixtures.file(2);
        Recording recording = Recording.of(List.of(file, file));
        assertEquals(RecordFixtures.ENTRIES, RecordFixtures.entries(recording));
    }
}
