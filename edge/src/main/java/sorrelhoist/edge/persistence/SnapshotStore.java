package sorrelhoist.edge.persistence;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.core.statetransfer.SnapshotLog;

/**
 * Stores a router's snapshots: the latest full snapshot, and a log of the incremental snapshots
 * since then. Each file is durable before the next step begins, so that both files stay readable if
 * the process is killed between any two steps. A file that is corrupt or of another format is
 * renamed, and its valid frames are still used if it has any. Not thread-safe.
 */
public final class SnapshotStore {
    private static final Logger LOG = LoggerFactory.getLogger(SnapshotStore.class);

    // Names of files on disk. They must not change, so that files of older versions are found.
    private static final String SNAPSHOT_FILE = "past.snapshot";
    private static final String LOG_FILE = "past.log";
    private static final String TEMPORARY_FILE = "past.new";
    private static final String CORRUPT_FILE_SUFFIX = ".aside";

    private final SnapshotStorage storage;

    /** Whether the log has a valid header and ends with a complete frame. */
    private boolean logAppendable;

    /**
     * Creates a store without reading from storage.
     *
     * @param storage the storage of the files
     */
    public SnapshotStore(SnapshotStorage storage) {
        this.storage = storage;
    }

    /**
     * Reads all stored snapshots. Renames corrupt files, and truncates an incomplete frame at the
     * end of the log.
     *
     * @return the valid frames of the full snapshot and of the log, in the order in which they were
     *     written
     * @throws IOException if a file cannot be read, renamed or truncated
     */
    public List<SnapshotLog.Frame> restore() throws IOException {
        List<SnapshotLog.Frame> frames = new ArrayList<>(read(SNAPSHOT_FILE));
        frames.addAll(read(LOG_FILE));
        return frames;
    }

    private List<SnapshotLog.Frame> read(String name) throws IOException {
        byte[] bytes = storage.read(name);
        if (bytes == null) {
            return List.of();
        }
        SnapshotLog.ReadResult result = SnapshotLog.read(bytes);
        if (result.fault() != null) {
            renameCorruptFile(name, result);
        } else if (name.equals(LOG_FILE)) {
            logAppendable = result.validBytes() > 0;
            if (result.validBytes() < bytes.length) {
                // The incomplete last frame is a write that a kill interrupted.
                storage.truncate(name, result.validBytes());
            }
        }
        return result.frames();
    }

    private void renameCorruptFile(String name, SnapshotLog.ReadResult result) throws IOException {
        storage.rename(name, name + CORRUPT_FILE_SUFFIX);
        LOG.atWarn()
                .addKeyValue("event", "snapshot_set_aside")
                .addKeyValue("file", name + CORRUPT_FILE_SUFFIX)
                .addKeyValue("frames_used", result.frames().size())
                .log("{}: {}; file renamed, its valid frames are used", name, result.fault());
    }

    /**
     * Appends an incremental snapshot to the log.
     *
     * @param savedAtMicros the time of the snapshot, in microseconds since 1970
     * @param payload the encoded snapshot
     * @return the number of bytes written
     * @throws IOException if the snapshot cannot be written durably
     */
    public long append(long savedAtMicros, byte[] payload) throws IOException {
        byte[] frame = SnapshotLog.encodeFrame(savedAtMicros, payload);
        if (!logAppendable) {
            startLog();
        }
        try {
            storage.append(LOG_FILE, frame);
            storage.sync(LOG_FILE);
        } catch (IOException e) {
            // The log may end with a partial frame, after which nothing could be read: the next
            // append
            // starts a new log.
            logAppendable = false;
            throw e;
        }
        return frame.length;
    }

    /**
     * Replaces all stored snapshots with a full snapshot and an empty log.
     *
     * @param savedAtMicros the time of the snapshot, in microseconds since 1970
     * @param payload the encoded snapshot
     * @return the number of bytes written for the snapshot
     * @throws IOException if the snapshot or the log cannot be written durably
     */
    public long replaceAll(long savedAtMicros, byte[] payload) throws IOException {
        byte[] frame = SnapshotLog.encodeFrame(savedAtMicros, payload);
        writeFile(SNAPSHOT_FILE, frame);
        logAppendable = false;
        startLog();
        return frame.length;
    }

    private void startLog() throws IOException {
        writeFile(LOG_FILE, new byte[0]);
        logAppendable = true;
    }

    /** Writes a file with a header and frames atomically and durably. */
    private void writeFile(String name, byte[] frames) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(SnapshotLog.header());
        bytes.writeBytes(frames);
        storage.write(TEMPORARY_FILE, bytes.toByteArray());
        storage.sync(TEMPORARY_FILE);
        storage.rename(TEMPORARY_FILE, name);
    }
}
