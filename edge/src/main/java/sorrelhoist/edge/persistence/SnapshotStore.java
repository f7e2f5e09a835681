package sorrelhoist.edge.persistence;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.core.statetransfer.SnapshotLog;

/**
 * A router's snapshots in storage: a full one, and a log of the incremental ones since. Each file
 * is durable before the next step begins, so that a kill between any two steps leaves both
 * readable. A file that is damaged or foreign is set aside under another name, and its valid
 * beginning used where it has one. Not thread-safe.
 */
public final class SnapshotStore {
    private static final Logger LOG = LoggerFactory.getLogger(SnapshotStore.class);

    // Names of files on disk: they stay, so that older versions' files are found.
    private static final String SNAPSHOT_FILE = "past.snapshot";
    private static final String LOG_FILE = "past.log";
    private static final String TEMPORARY_FILE = "past.new";
    private static final String SET_ASIDE_SUFFIX = ".aside";

    private final SnapshotStorage storage;

    /** Whether the log has a valid header and ends with a whole frame. */
    private boolean logAppendable;

    /**
     * Creates a store; reads nothing yet.
     *
     * @param storage where the files lie
     */
    public SnapshotStore(SnapshotStorage storage) {
        this.storage = storage;
    }

    /**
     * Reads all that is stored.
     *
     * @return the valid frames of the full snapshot and of the log, in the order of writing
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
            setAside(name, result);
        } else if (name.equals(LOG_FILE)) {
            logAppendable = result.validBytes() > 0;
            if (result.validBytes() < bytes.length) {
                // The tail of a write that a kill cut short.
                storage.truncate(name, result.validBytes());
            }
        }
        return result.frames();
    }

    private void setAside(String name, SnapshotLog.ReadResult result) throws IOException {
        storage.rename(name, name + SET_ASIDE_SUFFIX);
        LOG.atWarn()
                .addKeyValue("event", "snapshot_set_aside")
                .addKeyValue("file", name + SET_ASIDE_SUFFIX)
                .addKeyValue("frames_used", result.frames().size())
                .log("{}: {}; the file is set aside", name, result.fault());
    }

    /**
     * Appends an incremental snapshot to the log.
     *
     * @param savedAtMicros when it was taken, in microseconds since 1970
     * @param payload its content
     * @return bytes written
     * @throws IOException if it cannot be written durably
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
            // A partial frame may stand there, and nothing may follow it: the next append starts a
            // new log.
            logAppendable = false;
            throw e;
        }
        return frame.length;
    }

    /**
     * Replaces all that is stored by a full snapshot and an empty log.
     *
     * @param savedAtMicros when it was taken, in microseconds since 1970
     * @param payload its content
     * @return bytes written
     * @throws IOException if it cannot be written durably
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

    /** Writes a file of a header and frames, so that it is there as a whole or not at all. */
    private void writeFile(String name, byte[] frames) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(SnapshotLog.header());
        bytes.writeBytes(frames);
        storage.write(TEMPORARY_FILE, bytes.toByteArray());
        storage.sync(TEMPORARY_FILE);
        storage.rename(TEMPORARY_FILE, name);
    }
}
