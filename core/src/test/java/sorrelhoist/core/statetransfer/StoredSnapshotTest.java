package sorrelhoist.core.statetransfer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.Knowledge;

/**
 * Reads data that was written by commit 40a42e7, before types and components were renamed: a
 * snapshot, a snapshot log, a digest of keys, and a transfer's chunk with its authentication tag.
 * The last two are not stored, but exchanged between routers of different versions.
 */
class StoredSnapshotTest {
    private static final Path FOLDER = Path.of("src/test/resources/stored");

    private static final long SECOND = 1_000_000;
    private static final int BUDGET = 10_000;

    private static Knowledge knowledge() {
        return new Knowledge(
                List.of(
                        new Knowledge.PrefixEntry("oldest", 9_000_000, 3, List.of()),
                        new Knowledge.PrefixEntry(
                                "pr\u00e9fixe",
                                4_000_000,
                                2,
                                List.of(
                                        new Knowledge.PrefixHolder("r1", 1_700_000_000_123L, 500),
                                        new Knowledge.PrefixHolder("r2", -9, 7))),
                        new Knowledge.PrefixEntry(
                                "session-1",
                                10,
                                1,
                                List.of(new Knowledge.PrefixHolder("r3", 5, 42)))),
                List.of(
                        new Knowledge.ServerHealth("r1", 5, 0.25, 1.5, 9),
                        new Knowledge.ServerHealth("r2", 6, 0, 1, 0)),
                List.of(
                        new Knowledge.RegressionSums(10, 1000, 50_000, 200_000, 9_000_000),
                        new Knowledge.RegressionSums(1.5, 2.25, 3, 4, 5)),
                new Knowledge.RegressionSums(20, 0.125, 7, 8, 9));
    }

    private static Knowledge small() {
        return new Knowledge(
                List.of(new Knowledge.PrefixEntry("k", 1, 1, List.of())),
                List.of(),
                List.of(),
                new Knowledge.RegressionSums(0, 0, 0, 0, 0));
    }

    private static byte[] snapshot() {
        return KnowledgeCodec.encode(knowledge(), BUDGET);
    }

    private static byte[] log() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(SnapshotLog.header());
        out.writeBytes(SnapshotLog.encodeFrame(1000 * SECOND, snapshot()));
        out.writeBytes(
                SnapshotLog.encodeFrame(1005 * SECOND, KnowledgeCodec.encode(small(), BUDGET)));
        return out.toByteArray();
    }

    private static byte[] chunk() {
        return new SnapshotTransfer(knowledge(), KeyDigest.decode(new byte[0]), BUDGET, 0)
                .nextChunk(250);
    }

    private static MessageAuthenticator authenticator() {
        Map<String, String> secrets = new LinkedHashMap<>();
        secrets.put("b", "fedcba9876543210");
        secrets.put("a", "0123456789abcdef");
        return new MessageAuthenticator(secrets);
    }

    private static byte[] tag() {
        return authenticator().sign("edge-1", "edge-2", 0x1_0000_0007L, 3, chunk());
    }

    private static byte[] digest() {
        return KeyDigest.encode(knowledge());
    }

    private static byte[] stored(String name) throws IOException {
        return Files.readAllBytes(FOLDER.resolve(name));
    }

    @Test
    void aStoredSnapshotIsReadWithItsContent() throws Exception {
        assertEquals(knowledge(), KnowledgeCodec.decode(stored("snapshot.knowledge")));
    }

    @Test
    void aStoredSnapshotIsWrittenAgainWithTheSameBytes() throws Exception {
        assertArrayEquals(stored("snapshot.knowledge"), snapshot());
    }

    @Test
    void aStoredLogIsReadWithItsContent() throws Exception {
        byte[] file = stored("past.log");
        SnapshotLog.ReadResult read = SnapshotLog.read(file);
        assertNull(read.fault());
        assertEquals(file.length, read.validBytes());
        assertEquals(
                List.of(1000 * SECOND, 1005 * SECOND),
                read.frames().stream().map(SnapshotLog.Frame::savedAt).toList());
        assertEquals(knowledge(), KnowledgeCodec.decode(read.frames().get(0).payload()));
        assertEquals(small(), KnowledgeCodec.decode(read.frames().get(1).payload()));
    }

    @Test
    void aStoredLogIsWrittenAgainWithTheSameBytes() throws Exception {
        assertArrayEquals(stored("past.log"), log());
    }

    @Test
    void aTransferChunkOfAnEarlierVersionIsVerifiedReadAndWrittenAlike() throws Exception {
        byte[] chunk = stored("transfer.chunk");
        byte[] tag = stored("transfer.tag");
        assertTrue(authenticator().verify("b", tag, "edge-1", "edge-2", 0x1_0000_0007L, 3, chunk));
        assertEquals(3, KnowledgeCodec.decode(chunk).keys().size());
        assertArrayEquals(chunk, chunk());
        assertArrayEquals(tag, tag());
    }

    @Test
    void aKeyDigestOfAnEarlierVersionMatchesTheSameKeys() throws Exception {
        byte[] bytes = stored("keys.digest");
        assertArrayEquals(bytes, digest());
        KeyDigest digest = KeyDigest.decode(bytes);
        assertTrue(knowledge().keys().stream().allMatch(key -> digest.contains(key.name())));
    }
}
