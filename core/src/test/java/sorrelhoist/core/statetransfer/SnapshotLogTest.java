package sorrelhoist.core.statetransfer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sorrelhoist.core.statetransfer.SnapshotFixtures.SECOND;
import static sorrelhoist.core.statetransfer.SnapshotFixtures.knowledge;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Snapshot files that are truncated or damaged at any byte. */
class SnapshotLogTest {
    private static byte[] file(int frames) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(SnapshotLog.header());
        for (int i = 0; i < frames; i++) {
            byte[] payload = KnowledgeCodec.encode(knowledge(i), 10_000);
            out.writeBytes(SnapshotLog.encodeFrame(i * SECOND, payload));
        }
        return out.toByteArray();
    }

    @Test
    void aFileThatIsCutAtAnyByteHoldsEveryWholeFrame() {
        byte[] whole = file(5);
        int framesBefore = 0;
        for (int cut = 0; cut <= whole.length; cut++) {
            SnapshotLog.ReadResult result = SnapshotLog.read(Arrays.copyOf(whole, cut));
            assertNull(result.fault(), "truncated to " + cut);
            assertTrue(result.frames().size() >= framesBefore && result.validBytes() <= cut);
            framesBefore = result.frames().size();
        }
        assertEquals(5, framesBefore);
    }

    @Test
    void aFileThatIsDamagedAnywhereIsNotReadBeyondTheDamage() {
        byte[] whole = file(4);
        for (int at = 0; at < whole.length; at++) {
            byte[] damaged = whole.clone();
            damaged[at] ^= 0x40;
            SnapshotLog.ReadResult result = SnapshotLog.read(damaged);
            assertTrue(result.validBytes() <= at, "damaged at offset " + at);
            assertEquals(at < 8, result.foreign());
            for (int i = 0; i < result.frames().size(); i++) {
                assertEquals(i * SECOND, result.frames().get(i).savedAt());
            }
        }
    }
}
