package sorrelhoist.core.statetransfer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.members.EngineTable;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.Routing.ServerState;

/**
 * Knowledge as bytes, a past that was cut or damaged anywhere, and processes by their incarnations.
 */
class KnowTest {
    private static final long S = 1_000_000;

    private static Knowledge sample(int keys) {
        List<Knowledge.PrefixEntry> all = new ArrayList<>();
        for (int i = 0; i < keys; i++) {
            all.add(
                    new Knowledge.PrefixEntry(
                            "key-" + i,
                            (keys - i) * 1000L,
                            i % 7,
                            List.of(new Knowledge.PrefixHolder("r" + i % 3, 5, 100 + i))));
        }
        Knowledge.RegressionSums s =
                new Knowledge.RegressionSums(10, 1000, 50_000, 200_000, 9_000_000);
        return new Knowledge(
                all, List.of(new Knowledge.ServerHealth("r1", 5, 0.25, 1.5, 9)), List.of(s, s), s);
    }

    @Test
    void knowledgeComesBackFromItsBytes() throws KnowledgeCodec.CorruptKnowledgeException {
        assertEquals(sample(50), KnowledgeCodec.decode(KnowledgeCodec.encode(sample(50), 1 << 20)));
    }

    @Test
    void aBudgetKeepsWhatIsRecentAndUsedMost() throws KnowledgeCodec.CorruptKnowledgeException {
        byte[] bytes = KnowledgeCodec.encode(sample(1000), 2000);
        assertTrue(bytes.length < 2400);
        Knowledge k = KnowledgeCodec.decode(bytes);
        assertTrue(k.keys().size() > 30);
        assertTrue(k.keys().stream().allMatch(key -> key.uses() == 6), k.keys().toString());
    }

    @Test
    void aNeighboursVersionAndUnknownSectionsAreReadAndDistantOnesNot() throws Exception {
        byte[] bytes = KnowledgeCodec.encode(sample(3), 1000);
        ByteArrayOutputStream more = new ByteArrayOutputStream();
        more.write(bytes);
        more.write(new byte[] {9, 0, 0, 0, 6, 0, 0, 0, 1, 7, 7});
        byte[] next = more.toByteArray();
        next[1] = 2;
        assertEquals(sample(3), KnowledgeCodec.decode(next));
        next[1] = 3;
        assertThrows(
                KnowledgeCodec.CorruptKnowledgeException.class, () -> KnowledgeCodec.decode(next));
    }

    @Test
    void anyDamageIsReadOrRefused() {
        byte[] bytes = KnowledgeCodec.encode(sample(20), 10_000);
        SplittableRandom random = new SplittableRandom(4);
        for (int i = 0; i < 20_000; i++) {
            byte[] hurt =
                    Arrays.copyOf(
                            bytes,
                            random.nextInt(4) == 0 ? random.nextInt(bytes.length) : bytes.length);
            for (int n = random.nextInt(4); n > 0 && hurt.length > 0; n--) {
                hurt[random.nextInt(hurt.length)] = (byte) random.nextInt(256);
            }
            try {
                assertTrue(KnowledgeCodec.decode(hurt).keys().size() <= hurt.length);
            } catch (KnowledgeCodec.CorruptKnowledgeException e) {
                assertTrue(e.getMessage().length() > 0);
            }
        }
    }

    private static byte[] file(int frames) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(SnapshotLog.header());
        for (int i = 0; i < frames; i++) {
            out.writeBytes(
                    SnapshotLog.encodeFrame(i * S, KnowledgeCodec.encode(sample(i), 10_000)));
        }
        return out.toByteArray();
    }

    @Test
    void aPastThatIsCutAtAnyByteHoldsEveryWholeFrame() {
        byte[] whole = file(5);
        int before = 0;
        for (int cut = 0; cut <= whole.length; cut++) {
            SnapshotLog.ReadResult r = SnapshotLog.read(Arrays.copyOf(whole, cut));
            assertNull(r.fault(), "cut at " + cut);
            assertTrue(r.frames().size() >= before && r.validBytes() <= cut);
            before = r.frames().size();
        }
        assertEquals(5, before);
    }

    @Test
    void aPastThatIsDamagedAnywhereIsNeverBelievedBeyondTheDamage() {
        byte[] whole = file(4);
        for (int at = 0; at < whole.length; at++) {
            byte[] hurt = whole.clone();
            hurt[at] ^= 0x40;
            SnapshotLog.ReadResult r = SnapshotLog.read(hurt);
            assertTrue(r.validBytes() <= at, "damage at " + at);
            assertEquals(at < 8, r.foreign());
            for (int i = 0; i < r.frames().size(); i++) {
                assertEquals(i * S, r.frames().get(i).savedAt());
            }
        }
    }

    @Test
    void theNewestIsTakenFirstAndTheOldNotAtAll() {
        byte[] k = KnowledgeCodec.encode(sample(1), 1000);
        List<SnapshotPolicy.RestoredSnapshot> m =
                SnapshotPolicy.selectRestorable(
                        2000 * S,
                        List.of(
                                new SnapshotLog.Frame(100 * S, k),
                                new SnapshotLog.Frame(1000 * S, k),
                                new SnapshotLog.Frame(1990 * S, k),
                                new SnapshotLog.Frame(5000 * S, k),
                                new SnapshotLog.Frame(1500 * S, new byte[] {1, 2})));
        assertEquals(
                List.of(0L, 10 * S, 1000 * S),
                m.stream().map(SnapshotPolicy.RestoredSnapshot::age).toList());
    }

    @Test
    void appendsAndSnapshotsComeInTheirTime() {
        SnapshotPolicy keeper = new SnapshotPolicy(0);
        assertEquals(SnapshotPolicy.SnapshotKind.NONE, keeper.kindDue(4 * S));
        assertEquals(SnapshotPolicy.SnapshotKind.INCREMENTAL, keeper.kindDue(5 * S));
        keeper.snapshotWritten(5 * S, SnapshotPolicy.SnapshotKind.INCREMENTAL, 1000);
        assertEquals(10 * S, keeper.nextDueAt());
        keeper.snapshotWritten(10 * S, SnapshotPolicy.SnapshotKind.INCREMENTAL, 5 << 20);
        assertEquals(SnapshotPolicy.SnapshotKind.FULL, keeper.kindDue(11 * S));
        keeper.snapshotWritten(11 * S, SnapshotPolicy.SnapshotKind.FULL, 1 << 20);
        assertEquals(SnapshotPolicy.SnapshotKind.NONE, keeper.kindDue(12 * S));
        assertEquals(SnapshotPolicy.SnapshotKind.FULL, keeper.kindDue(71 * S));
    }

    @Test
    void processesAreKnownByTheirIncarnationsAcrossClocks() {
        EngineTable before = new EngineTable(List.of("a"), List.of("k"));
        EngineTable after = new EngineTable(List.of("a"), List.of("k"));
        for (int i = 0; i < 3; i++) {
            EngineTable.ListedEngine e =
                    new EngineTable.ListedEngine(
                            "r" + i, "a", "x", "k", ServerState.SERVING, 1, 70 + i, 9 * S, "");
            EngineTable.ListedEngine later =
                    new EngineTable.ListedEngine(
                            "r" + i,
                            "a",
                            "x",
                            "k",
                            ServerState.SERVING,
                            1,
                            i == 2 ? 99 : 70 + i,
                            20 * S,
                            "");
            before.update(100 * S, List.of(e));
            after.update(111 * S + 17, List.of(later));
        }
        Knowledge k =
                new Knowledge(
                        List.of(
                                new Knowledge.PrefixEntry(
                                        "s",
                                        0,
                                        1,
                                        List.of(
                                                new Knowledge.PrefixHolder(
                                                        "r0", before.startedAt("r0"), 5),
                                                new Knowledge.PrefixHolder("r1", 1, 5),
                                                new Knowledge.PrefixHolder(
                                                        "r2", before.startedAt("r2"), 5)))),
                        List.of(),
                        List.of(),
                        new Knowledge.RegressionSums(0, 0, 0, 0, 0));
        Knowledge taught =
                ProcessIdentityTranslator.toLocalStartTimes(
                        ProcessIdentityTranslator.toIncarnations(k, before), after);
        assertEquals(
                List.of(new Knowledge.PrefixHolder("r0", after.startedAt("r0"), 5)),
                taught.keys().get(0).holders());
    }
}
