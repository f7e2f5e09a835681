package sorrelhoist.core.record;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.record.SegmentRetention.Append;
import sorrelhoist.core.record.SegmentRetention.Close;
import sorrelhoist.core.record.SegmentRetention.Delete;
import sorrelhoist.core.record.SegmentRetention.ExistingFile;
import sorrelhoist.core.record.SegmentRetention.Limits;
import sorrelhoist.core.record.SegmentRetention.Rename;

/** Which file a chunk is appended to, and which files are preserved or deleted. */
class SegmentRetentionTest {
    private static final Limits LIMITS = new Limits(100, 250, 1000, 150);
    private static final List<ExistingFile> NONE = List.of();

    @Test
    void aFullSegmentIsClosedAndTheNextOneBegun() {
        SegmentRetention retention = new SegmentRetention(LIMITS, 71, NONE);
        assertEquals(List.of(new Append("1z-000001.rec")), retention.appendChunk(0, 60));
        assertEquals(List.of(new Append("1z-000001.rec")), retention.appendChunk(0, 40));
        assertEquals(
                List.of(new Close("1z-000001.rec"), new Append("1z-000002.rec")),
                retention.appendChunk(0, 1));
    }

    @Test
    void aSegmentThatMayEndInHalfAChunkGetsNoMore() {
        SegmentRetention retention = new SegmentRetention(LIMITS, 71, NONE);
        retention.appendChunk(0, 10);
        retention.writeFailed();
        assertEquals(List.of(new Append("1z-000002.rec")), retention.appendChunk(0, 10));
    }

    @Test
    void theOldestFilesAreDeletedByBytesAndByAgeAndOthersIgnored() {
        List<ExistingFile> existing =
                List.of(
                        new ExistingFile("b.rec", 100, 2000),
                        new ExistingFile("a.rec", 100, 1500),
                        new ExistingFile("notes.txt", 1000, 0));
        SegmentRetention retention = new SegmentRetention(LIMITS, 71, existing);
        assertEquals(
                List.of(new Append("1z-000001.rec"), new Delete("a.rec")),
                retention.appendChunk(2000, 90));
        assertEquals(
                List.of(new Append("1z-000001.rec"), new Delete("b.rec")),
                retention.appendChunk(3001, 5));
    }

    @Test
    void preservedFilesAreRenamedAndOnlyTheirOwnLimitDeletesThem() {
        List<ExistingFile> existing =
                List.of(new ExistingFile("kept-x.rec", 100, 0), new ExistingFile("a.rec", 70, 10));
        SegmentRetention retention = new SegmentRetention(LIMITS, 71, existing);
        assertEquals(
                List.of(new Rename("a.rec", "kept-a.rec"), new Delete("kept-x.rec")),
                retention.preserveAll(20));
    }
}
