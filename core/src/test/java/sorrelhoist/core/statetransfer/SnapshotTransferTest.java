package sorrelhoist.core.statetransfer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.statetransfer.KnowledgeCodec.CorruptKnowledgeException;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.Knowledge.PrefixEntry;
import sorrelhoist.routing.Knowledge.PrefixHolder;
import sorrelhoist.routing.Knowledge.RegressionSums;
import sorrelhoist.routing.Knowledge.ServerHealth;

/** Transfers in chunks, and the keys that a digest excludes from them. */
class SnapshotTransferTest {
    private static final RegressionSums SUMS = new RegressionSums(5, 10, 10, 20, 20);
    private static final KeyDigest NO_KEYS = KeyDigest.decode(new byte[0]);
    private static final int UNBOUNDED = 10 << 20;

    private static Knowledge known(int from, int to) {
        List<PrefixEntry> keys = new ArrayList<>();
        for (int i = from; i < to; i++) {
            keys.add(
                    new PrefixEntry(
                            "session-" + i,
                            (to - i) * 10L,
                            1,
                            List.of(new PrefixHolder("r1", 1, 50))));
        }
        return new Knowledge(
                keys, List.of(new ServerHealth("r1", 1, 0.5, 1, 3)), List.of(SUMS), SUMS);
    }

    private static List<Knowledge> receive(SnapshotTransfer transfer, int maxChunks)
            throws CorruptKnowledgeException {
        List<Knowledge> received = new ArrayList<>();
        byte[] chunk = transfer.nextChunk(0);
        while (chunk != null && received.size() < maxChunks) {
            assertTrue(chunk.length <= SnapshotTransfer.MAX_CHUNK_KEY_BYTES + 1000);
            received.add(KnowledgeCodec.decode(chunk));
            chunk = transfer.nextChunk(0);
        }
        return received;
    }

    @Test
    void aTransferContainsEveryKeyOnceAndTheNewestFirst() throws Exception {
        SnapshotTransfer transfer = new SnapshotTransfer(known(0, 3000), NO_KEYS, UNBOUNDED, 0);
        List<Knowledge> received = receive(transfer, 1000);
        List<String> names =
                received.stream()
                        .flatMap(chunk -> chunk.keys().stream())
                        .map(PrefixEntry::name)
                        .toList();
        assertEquals(3000, names.size());
        assertEquals(3000, names.stream().distinct().count());
        assertTrue(received.get(0).keys().stream().allMatch(key -> key.ageMicros() <= 4000));
        assertEquals(1, received.get(0).servers().size());
        assertEquals(0, received.get(1).servers().size());
    }

    @Test
    void aDigestLeavesOnlyTheKeysThatAreMissing() throws Exception {
        KeyDigest digest = KeyDigest.decode(KeyDigest.encode(known(0, 2900)));
        SnapshotTransfer transfer = new SnapshotTransfer(known(0, 3000), digest, UNBOUNDED, 0);
        assertEquals(100, transfer.keyCount());
        assertEquals(1, receive(transfer, 10).size());
        assertTrue(KeyDigest.encode(known(0, 2900)).length <= 4 * 2900);
    }

    @Test
    void aTransferThatBrokeOffIsResumedWithTheMissingKeys() throws Exception {
        List<Knowledge> received =
                receive(new SnapshotTransfer(known(0, 3000), NO_KEYS, UNBOUNDED, 0), 3);
        List<PrefixEntry> keys = received.stream().flatMap(k -> k.keys().stream()).toList();
        byte[] digest = KeyDigest.encode(new Knowledge(keys, List.of(), List.of(), SUMS));
        SnapshotTransfer rest =
                new SnapshotTransfer(known(0, 3000), KeyDigest.decode(digest), UNBOUNDED, 0);
        assertEquals(3000 - keys.size(), rest.keyCount());
    }

    @Test
    void aTransferIsBoundedAndItsAgesGrowWhileItIsSlow() throws Exception {
        SnapshotTransfer bounded = new SnapshotTransfer(known(0, 20_000), NO_KEYS, 100_000, 0);
        int bytes = 0;
        for (byte[] chunk = bounded.nextChunk(0); chunk != null; chunk = bounded.nextChunk(0)) {
            bytes += chunk.length;
        }
        assertTrue(bytes <= 100_000 + SnapshotTransfer.MAX_CHUNK_KEY_BYTES);
        SnapshotTransfer slow = new SnapshotTransfer(known(0, 10), NO_KEYS, 100_000, 0);
        Knowledge late = KnowledgeCodec.decode(slow.nextChunk(5_000_000));
        assertEquals(5_000_010, late.keys().get(9).ageMicros());
    }
}
