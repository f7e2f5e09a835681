package sorrelhoist.core.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import net.openhft.hashing.LongHashFunction;
import org.junit.jupiter.api.Test;

/** Segment files that are truncated, damaged, or written by other programs or versions. */
class SegmentReaderTest {
    private static final int CHUNKS = 4;
    private static final int FRAME_HEADER_BYTES = 12;

    @Test
    void aTruncatedFileYieldsItsWholeChunksAndNoFault() {
        byte[] file = RecordFixtures.file(2);
        int maxChunks = 0;
        for (int length = 0; length <= file.length; length++) {
            DecodedSegment segment = SegmentReader.read(Arrays.copyOf(file, length));
            assertEquals(List.of(), segment.faults(), "truncated to " + length);
            assertTrue(segment.chunks().size() >= maxChunks, "truncated to " + length);
            maxChunks = segment.chunks().size();
        }
        assertEquals(CHUNKS, maxChunks);
    }

    @Test
    void aDamagedByteLosesItsChunkAndIsReported() throws CorruptRecordException {
        byte[] file = RecordFixtures.file(2);
        for (int at = ChunkCodec.fileHeader().length; at < file.length; at++) {
            byte[] damaged = file.clone();
            damaged[at] ^= 0x10;
            DecodedSegment segment = SegmentReader.read(damaged);
            assertTrue(segment.chunks().size() < CHUNKS, "damaged at offset " + at);
            if (segment.chunks().size() == 3 && segment.chunks().get(2).firstNumber() == 6) {
                assertFalse(Recording.of(List.of(damaged)).isComplete(), "damaged at offset " + at);
                assertFalse(segment.faults().isEmpty());
            }
        }
    }

    @Test
    void filesOfOtherProgramsOrVersionsAreRejected() {
        byte[] foreign = RecordFixtures.file(2);
        foreign[2] = 'x';
        assertTrue(SegmentReader.read(foreign).foreign());
        byte[] otherVersion = RecordFixtures.file(2);
        otherVersion[7] = '9';
        assertEquals(
                "unsupported version of the record format",
                SegmentReader.read(otherVersion).faults().get(0));
        assertThrows(
                CorruptRecordException.class, () -> Recording.of(List.of(ChunkCodec.fileHeader())));
    }

    /** Decoding terminates for any bytes, and its cost is limited by their length. */
    @Test
    void randomBytesWithAValidChecksumAreRejected() {
        SplittableRandom random = new SplittableRandom(4);
        ChunkWriter writer = new ChunkWriter();
        int rejected = 0;
        for (int i = 0; i < 20_000; i++) {
            writer.begin(0, RecordFixtures.HEADER);
            RecordFixtures.ENTRIES.forEach(writer::write);
            byte[] chunk = writer.end();
            int length = chunk.length - FRAME_HEADER_BYTES;
            for (int k = 0; k < 3; k++) {
                chunk[FRAME_HEADER_BYTES + random.nextInt(length)] = (byte) random.nextInt();
            }
            long checksum = LongHashFunction.xx3().hashBytes(chunk, FRAME_HEADER_BYTES, length);
            byte[] frameHeader =
                    new BinaryWriter().writeInt(length).writeLong(checksum).toByteArray();
            System.arraycopy(frameHeader, 0, chunk, 0, FRAME_HEADER_BYTES);
            byte[] file = RecordFixtures.file(List.of(chunk));
            rejected += SegmentReader.read(file).faults().isEmpty() ? 0 : 1;
        }
        assertTrue(rejected > 1000, rejected + " files rejected");
    }
}
