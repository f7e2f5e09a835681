package sorrelhoist.edge.persistence;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sorrelhoist.core.statetransfer.SnapshotLog;

/**
 * Tests a store whose process is killed at every point of every write, and a store whose files are
 * corrupt or of another format.
 */
class SnapshotStoreTest {
    private static final int STEPS = 12;

    /** In-memory storage that fails after a given number of written bytes and other operations. */
    private static final class FailingStorage implements SnapshotStorage {
        private final Map<String, byte[]> files;
        private int remainingBudget;

        FailingStorage(Map<String, byte[]> files, int budget) {
            this.files = files;
            this.remainingBudget = budget;
        }

        /**
         * Spends the remaining budget on an operation. Returns the part of the amount that the
         * budget covers.
         */
        private int spend(int amount) throws IOException {
            if (remainingBudget <= 0) {
                throw new IOException("killed");
            }
            int part = Math.min(remainingBudget, amount);
            remainingBudget -= part;
            return part;
        }

        @Override
        public byte[] read(String name) {
            return files.get(name);
        }

        @Override
        public void write(String name, byte[] bytes) throws IOException {
            files.put(name, new byte[0]);
            append(name, bytes);
        }

        @Override
        public void append(String name, byte[] bytes) throws IOException {
            byte[] old = files.getOrDefault(name, new byte[0]);
            int part = spend(bytes.length);
            byte[] grown = Arrays.copyOf(old, old.length + part);
            System.arraycopy(bytes, 0, grown, old.length, part);
            files.put(name, grown);
            if (part < bytes.length) {
                throw new IOException("killed");
            }
        }

        @Override
        public void truncate(String name, long length) throws IOException {
            spend(1);
            files.put(name, Arrays.copyOf(files.get(name), (int) length));
        }

        @Override
        public void sync(String name) throws IOException {
            spend(1);
        }

        @Override
        public void rename(String from, String to) throws IOException {
            spend(1);
            byte[] moved = files.remove(from);
            files.put(to, moved);
        }
    }

    private static byte[] payload(int step) {
        byte[] p = new byte[20 + step];
        Arrays.fill(p, (byte) step);
        return p;
    }

    /**
     * Writes snapshots until the storage fails. Returns the last step whose write succeeded, -1 for
     * none.
     */
    private static int writeUntilKilled(SnapshotStore store) {
        for (int step = 0; step < STEPS; step++) {
            try {
                if (step % 5 == 4) {
                    store.replaceAll(step, payload(step));
                } else {
                    store.append(step, payload(step));
                }
            } catch (IOException e) {
                return step - 1;
            }
        }
        return STEPS - 1;
    }

    @Test
    void killAtAnyPointKeepsWrittenSnapshots() throws IOException {
        int kills = 0;
        for (int at = 1; ; at++) {
            Map<String, byte[]> files = new HashMap<>();
            int written = writeUntilKilled(new SnapshotStore(new FailingStorage(files, at)));
            FailingStorage after = new FailingStorage(files, Integer.MAX_VALUE);
            SnapshotStore store = new SnapshotStore(after);
            List<SnapshotLog.Frame> frames = store.restore();
            long newest = frames.stream().mapToLong(SnapshotLog.Frame::savedAt).max().orElse(-1);
            assertTrue(
                    newest >= written,
                    "killed at "
                            + at
                            + ": lost the written step "
                            + written
                            + ", newest restored step is "
                            + newest);
            frames.forEach(f -> assertArrayEquals(payload((int) f.savedAt()), f.payload()));
            assertTrue(
                    files.keySet().stream().noneMatch(n -> n.endsWith(".aside")),
                    "renamed a file as corrupt after a kill at " + at);
            store.append(100, payload(3));
            assertEquals(
                    100,
                    new SnapshotStore(after)
                            .restore().stream()
                                    .mapToLong(SnapshotLog.Frame::savedAt)
                                    .max()
                                    .orElse(-1));
            kills++;
            if (written == STEPS - 1) {
                break;
            }
        }
        assertTrue(kills > 500, "too few kill points: " + kills);
    }

    @Test
    void appendAfterAPartialAppendIsReadable() throws IOException {
        Map<String, byte[]> files = new HashMap<>();
        FailingStorage storage = new FailingStorage(files, Integer.MAX_VALUE);
        SnapshotStore store = new SnapshotStore(storage);
        store.append(1, payload(1));
        storage.remainingBudget = 10;
        try {
            store.append(2, payload(2));
        } catch (IOException expected) {
            storage.remainingBudget = Integer.MAX_VALUE;
        }
        store.append(3, payload(3));
        assertTrue(new SnapshotStore(storage).restore().stream().anyMatch(f -> f.savedAt() == 3));
    }

    @Test
    void corruptAndForeignFilesAreRenamedAndNeverFatal(@TempDir Path folder) throws IOException {
        SnapshotStore store = new SnapshotStore(new DirectoryStorage(folder));
        store.replaceAll(1, payload(1));
        store.append(2, payload(2));
        store.append(3, payload(3));
        byte[] log = Files.readAllBytes(folder.resolve("past.log"));
        log[log.length - 1] ^= 1;
        Files.write(folder.resolve("past.log"), log);
        Files.writeString(folder.resolve("past.snapshot"), "somebody else's notes");
        SnapshotStore after = new SnapshotStore(new DirectoryStorage(folder));
        assertEquals(
                List.of(2L), after.restore().stream().map(SnapshotLog.Frame::savedAt).toList());
        assertTrue(Files.exists(folder.resolve("past.snapshot.aside")));
        assertTrue(Files.exists(folder.resolve("past.log.aside")));
        after.append(9, payload(9));
        assertEquals(1, new SnapshotStore(new DirectoryStorage(folder)).restore().size());
    }
}
