package sorrelhoist.core.statetransfer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.Knowledge;

/** Lessons in chunks, what a digest saves, and seals. */
class ExchangeTest {
    private static final Knowledge.RegressionSums SUMS =
            new Knowledge.RegressionSums(5, 10, 10, 20, 20);

    private static Knowledge known(int from, int to) {
        List<Knowledge.PrefixEntry> keys = new ArrayList<>();
        for (int i = from; i < to; i++) {
            keys.add(
                    new Knowledge.PrefixEntry(
                            "session-" + i,
                            (to - i) * 10L,
                            1,
                            List.of(new Knowledge.PrefixHolder("r1", 1, 50))));
        }
        return new Knowledge(
                keys, List.of(new Knowledge.ServerHealth("r1", 1, 0.5, 1, 3)), List.of(SUMS), SUMS);
    }

    private static List<Knowledge> teach(SnapshotTransfer lesson, int most)
            throws KnowledgeCodec.CorruptKnowledgeException {
        List<Knowledge> got = new ArrayList<>();
        for (byte[] c = lesson.nextChunk(0);
                c != null && got.size() < most;
                c = lesson.nextChunk(0)) {
            assertTrue(c.length <= SnapshotTransfer.MAX_CHUNK_KEY_BYTES + 1000);
            got.add(KnowledgeCodec.decode(c));
        }
        return got;
    }

    @Test
    void aLessonHoldsEverythingOnceAndTheNewestFirst() throws Exception {
        List<Knowledge> got =
                teach(
                        new SnapshotTransfer(
                                known(0, 3000), KeyDigest.decode(new byte[0]), 10 << 20, 0),
                        1000);
        List<String> names =
                got.stream()
                        .flatMap(k -> k.keys().stream())
                        .map(Knowledge.PrefixEntry::name)
                        .toList();
        assertEquals(3000, names.size());
        assertEquals(3000, names.stream().distinct().count());
        assertTrue(got.get(0).keys().stream().allMatch(k -> k.ageMicros() <= 4000));
        assertEquals(1, got.get(0).servers().size());
        assertEquals(0, got.get(1).servers().size());
    }

    @Test
    void aDigestLeavesOnlyWhatDiffers() throws Exception {
        KeyDigest has = KeyDigest.decode(KeyDigest.encode(known(0, 2900)));
        SnapshotTransfer lesson = new SnapshotTransfer(known(0, 3000), has, 10 << 20, 0);
        assertEquals(100, lesson.keyCount());
        assertEquals(1, teach(lesson, 10).size());
        assertTrue(KeyDigest.encode(known(0, 2900)).length <= 4 * 2900);
    }

    @Test
    void aLessonThatBrokeGoesOnWhereItWas() throws Exception {
        List<Knowledge> first =
                teach(
                        new SnapshotTransfer(
                                known(0, 3000), KeyDigest.decode(new byte[0]), 10 << 20, 0),
                        3);
        List<Knowledge.PrefixEntry> have = first.stream().flatMap(k -> k.keys().stream()).toList();
        SnapshotTransfer rest =
                new SnapshotTransfer(
                        known(0, 3000),
                        KeyDigest.decode(
                                KeyDigest.encode(new Knowledge(have, List.of(), List.of(), SUMS))),
                        10 << 20,
                        0);
        assertEquals(3000 - have.size(), rest.keyCount());
    }

    @Test
    void aLessonIsBoundedAndItsAgesGrowWhileItIsToldSlowly() throws Exception {
        SnapshotTransfer lesson =
                new SnapshotTransfer(known(0, 20_000), KeyDigest.decode(new byte[0]), 100_000, 0);
        int bytes = 0;
        for (byte[] c = lesson.nextChunk(0); c != null; c = lesson.nextChunk(0)) {
            bytes += c.length;
        }
        assertTrue(bytes <= 100_000 + SnapshotTransfer.MAX_CHUNK_KEY_BYTES);
        SnapshotTransfer slow =
                new SnapshotTransfer(known(0, 10), KeyDigest.decode(new byte[0]), 100_000, 0);
        assertEquals(
                5_000_010,
                KnowledgeCodec.decode(slow.nextChunk(5_000_000)).keys().get(9).ageMicros());
    }

    @Test
    void sealsHoldThroughARotationAndForNothingElse() {
        Map<String, String> old = Map.of("a", "0123456789abcdef");
        Map<String, String> both = new LinkedHashMap<>();
        both.put("b", "fedcba9876543210");
        both.put("a", "0123456789abcdef");
        MessageAuthenticator before = new MessageAuthenticator(old);
        MessageAuthenticator after = new MessageAuthenticator(both);
        byte[] piece = {1, 2, 3};
        byte[] tag = before.sign("x", "y", 7, 0, piece);
        assertTrue(after.verify("a", tag, "x", "y", 7, 0, piece));
        assertFalse(before.verify("b", after.sign("x", "y", 7, 0, piece), "x", "y", 7, 0, piece));
        assertFalse(after.verify("a", tag, "x", "z", 7, 0, piece));
        assertFalse(after.verify("a", tag, "xy", "", 7, 0, piece));
        assertFalse(after.verify("a", tag, "x", "y", 8, 0, piece));
        assertFalse(after.verify("a", tag, "x", "y", 7, 1, piece));
        assertFalse(after.verify("a", tag, "x", "y", 7, 0, new byte[] {1, 2, 4}));
        assertFalse(after.verify("a", new byte[0], "x", "y", 7, 0, piece));
        assertThrows(
                IllegalArgumentException.class,
                () -> new MessageAuthenticator(Map.of("a", "short")));
        assertThrows(IllegalArgumentException.class, () -> new MessageAuthenticator(Map.of()));
    }
}
