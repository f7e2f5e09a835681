package sorrelhoist.core.statetransfer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sorrelhoist.core.statetransfer.SnapshotFixtures.knowledge;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.statetransfer.KnowledgeCodec.CorruptKnowledgeException;
import sorrelhoist.routing.Knowledge;

/** Encoded snapshots: complete, with a size limit, of other versions, and damaged. */
class KnowledgeCodecTest {
    @Test
    void knowledgeIsDecodedAsItWasEncoded() throws CorruptKnowledgeException {
        byte[] bytes = KnowledgeCodec.encode(knowledge(50), 1 << 20);
        assertEquals(knowledge(50), KnowledgeCodec.decode(bytes));
    }

    @Test
    void aSizeLimitKeepsTheMostRecentAndMostUsedKeys() throws CorruptKnowledgeException {
        byte[] bytes = KnowledgeCodec.encode(knowledge(1000), 2000);
        assertTrue(bytes.length < 2400);
        Knowledge decoded = KnowledgeCodec.decode(bytes);
        assertTrue(decoded.keys().size() > 30);
        assertTrue(
                decoded.keys().stream().allMatch(key -> key.uses() == 6),
                decoded.keys().toString());
    }

    @Test
    void theNextVersionAndUnknownSectionsAreReadAndLaterVersionsAreRejected() throws Exception {
        ByteArrayOutputStream longer = new ByteArrayOutputStream();
        longer.write(KnowledgeCodec.encode(knowledge(3), 1000));
        longer.write(new byte[] {9, 0, 0, 0, 6, 0, 0, 0, 1, 7, 7});
        byte[] nextVersion = longer.toByteArray();
        nextVersion[1] = 2;
        assertEquals(knowledge(3), KnowledgeCodec.decode(nextVersion));
        nextVersion[1] = 3;
        assertThrows(CorruptKnowledgeException.class, () -> KnowledgeCodec.decode(nextVersion));
    }

    @Test
    void damagedSnapshotsAreDecodedOrRejected() {
        byte[] bytes = KnowledgeCodec.encode(knowledge(20), 10_000);
        SplittableRandom random = new SplittableRandom(4);
        for (int i = 0; i < 20_000; i++) {
            boolean cut = random.nextInt(4) == 0;
            byte[] damaged =
                    Arrays.copyOf(bytes, cut ? random.nextInt(bytes.length) : bytes.length);
            for (int n = random.nextInt(4); n > 0 && damaged.length > 0; n--) {
                damaged[random.nextInt(damaged.length)] = (byte) random.nextInt(256);
            }
            try {
                assertTrue(KnowledgeCodec.decode(damaged).keys().size() <= damaged.length);
            } catch (CorruptKnowledgeException e) {
                assertTrue(e.getMessage().length() > 0);
            }
        }
    }
}
