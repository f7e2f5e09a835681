package sorrelhoist.core.know;

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
import sorrelhoist.Knowledge;
import sorrelhoist.Routing.ServerState;
import sorrelhoist.core.members.EngineTable;

/**
 * Knowledge as bytes, a past that was cut or damaged anywhere, and processes by their incarnations.
 */
class KnowTest {
    private static final long S = 1_000_000;

    private static Knowledge sample(int keys) {
        List<Knowledge.Key> all = new ArrayList<>();
        for (int i = 0; i < keys; i++) {
            all.add(
                    new Knowledge.Key(
                            "key-" + i,
                            (keys - i) * 1000L,
                            i % 7,
                            List.of(new Knowledge.Holding("r" + i % 3, 5, 100 + i))));
        }
        Knowledge.Sums s = new Knowledge.Sums(10, 1000, 50_000, 200_000, 9_000_000);
        return new Knowledge(
                all, List.of(new Knowledge.Health("r1", 5, 0.25, 1.5, 9)), List.of(s, s), s);
    }

    @Test
    void knowledgeComesBackFromItsBytes() throws KnowledgeForm.Unreadable {
        assertEquals(sample(50), KnowledgeForm.read(KnowledgeForm.write(sample(50), 1 << 20)));
    }

    @Test
    void aBudgetKeepsWhatIsRecentAndUsedMost() throws KnowledgeForm.Unreadable {
        byte[] bytes = KnowledgeForm.write(sample(1000), 2000);
        assertTrue(bytes.length < 2400);
        Knowledge k = KnowledgeForm.read(bytes);
        assertTrue(k.keys().size() > 30);
        assertTrue(k.keys().stream().allMatch(key -> key.uses() == 6), k.keys().toString());
    }

    @Test
    void aNeighboursVersionAndUnknownSectionsAreReadAndDistantOnesNot() throws Exception {
        byte[] bytes = KnowledgeForm.write(sample(3), 1000);
        ByteArrayOutputStream more = new ByteArrayOutputStream();
        more.write(bytes);
        more.write(new byte[] {9, 0, 0, 0, 6, 0, 0, 0, 1, 7, 7});
        byte[] next = more.toByteArray();
        next[1] = 2;
        assertEquals(sample(3), KnowledgeForm.read(next));
        next[1] = 3;
        assertThrows(KnowledgeForm.Unreadable.class, () -> KnowledgeForm.read(next));
    }

    @Test
    void anyDamageIsReadOrRefused() {
        byte[] bytes = KnowledgeForm.write(sample(20), 10_000);
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
                assertTrue(KnowledgeForm.read(hurt).keys().size() <= hurt.length);
            } catch (KnowledgeForm.Unreadable e) {
                assertTrue(e.getMessage().length() > 0);
            }
        }
    }

    private static byte[] file(int frames) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(PastFrames.header());
        for (int i = 0; i < frames; i++) {
            out.writeBytes(PastFrames.frame(i * S, KnowledgeForm.write(sample(i), 10_000)));
        }
        return out.toByteArray();
    }

    @Test
    void aPastThatIsCutAtAnyByteHoldsEveryWholeFrame() {
        byte[] whole = file(5);
        int before = 0;
        for (int cut = 0; cut <= whole.length; cut++) {
            PastFrames.Read r = PastFrames.read(Arrays.copyOf(whole, cut));
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
            PastFrames.Read r = PastFrames.read(hurt);
            assertTrue(r.validBytes() <= at, "damage at " + at);
            assertEquals(at < 8, r.foreign());
            for (int i = 0; i < r.frames().size(); i++) {
                assertEquals(i * S, r.frames().get(i).savedAt());
            }
        }
    }

    @Test
    void theNewestIsTakenFirstAndTheOldNotAtAll() {
        byte[] k = KnowledgeForm.write(sample(1), 1000);
        List<PastKeeper.Memory> m =
                PastKeeper.believe(
                        2000 * S,
                        List.of(
                                new PastFrames.Frame(100 * S, k),
                                new PastFrames.Frame(1000 * S, k),
                                new PastFrames.Frame(1990 * S, k),
                                new PastFrames.Frame(5000 * S, k),
                                new PastFrames.Frame(1500 * S, new byte[] {1, 2})));
        assertEquals(
                List.of(0L, 10 * S, 1000 * S), m.stream().map(PastKeeper.Memory::age).toList());
    }

    @Test
    void appendsAndSnapshotsComeInTheirTime() {
        PastKeeper keeper = new PastKeeper(0);
        assertEquals(PastKeeper.Step.NOTHING, keeper.due(4 * S));
        assertEquals(PastKeeper.Step.APPEND, keeper.due(5 * S));
        keeper.wrote(5 * S, PastKeeper.Step.APPEND, 1000);
        assertEquals(10 * S, keeper.nextAt());
        keeper.wrote(10 * S, PastKeeper.Step.APPEND, 5 << 20);
        assertEquals(PastKeeper.Step.SNAPSHOT, keeper.due(11 * S));
        keeper.wrote(11 * S, PastKeeper.Step.SNAPSHOT, 1 << 20);
        assertEquals(PastKeeper.Step.NOTHING, keeper.due(12 * S));
        assertEquals(PastKeeper.Step.SNAPSHOT, keeper.due(71 * S));
    }

    @Test
    void processesAreKnownByTheirIncarnationsAcrossClocks() {
        EngineTable before = new EngineTable(List.of("a"), List.of("k"));
        EngineTable after = new EngineTable(List.of("a"), List.of("k"));
        for (int i = 0; i < 3; i++) {
            EngineTable.Entry e =
                    new EngineTable.Entry(
                            "r" + i, "a", "x", "k", ServerState.SERVING, 1, 70 + i, 9 * S, "");
            EngineTable.Entry later =
                    new EngineTable.Entry(
                            "r" + i,
                            "a",
                            "x",
                            "k",
                            ServerState.SERVING,
                            1,
                            i == 2 ? 99 : 70 + i,
                            20 * S,
                            "");
            before.take(100 * S, List.of(e));
            after.take(111 * S + 17, List.of(later));
        }
        Knowledge k =
                new Knowledge(
                        List.of(
                                new Knowledge.Key(
                                        "s",
                                        0,
                                        1,
                                        List.of(
                                                new Knowledge.Holding("r0", before.since("r0"), 5),
                                                new Knowledge.Holding("r1", 1, 5),
                                                new Knowledge.Holding(
                                                        "r2", before.since("r2"), 5)))),
                        List.of(),
                        List.of(),
                        new Knowledge.Sums(0, 0, 0, 0, 0));
        Knowledge taught = Processes.inward(Processes.outward(k, before), after);
        assertEquals(
                List.of(new Knowledge.Holding("r0", after.since("r0"), 5)),
                taught.keys().get(0).holders());
    }
}
