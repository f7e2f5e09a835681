package sorrelhoist.edge.past;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.core.statetransfer.SnapshotLog;

/**
 * A router's past on disk: a snapshot and a log of what was appended since. Each is on disk before
 * the next step is begun; a kill between any two leaves both readable. A file that is damaged or
 * foreign is set aside under another name, and its sound beginning used where it has one.
 */
public final class PastStore {
    private static final Logger LOG = LoggerFactory.getLogger(PastStore.class);
    private static final String SNAPSHOT = "past.snapshot";
    private static final String LOG_FILE = "past.log";
    private static final String NEW = "past.new";
    private static final String ASIDE = ".aside";
    private final Disk disk;
    private boolean logOpen;

    /** Makes a store over a disk; nothing is read yet. */
    public PastStore(Disk disk) {
        this.disk = disk;
    }

    /** Reads all that is there. {@return whole frames of snapshot and log} */
    public List<SnapshotLog.Frame> restore() throws IOException {
        List<SnapshotLog.Frame> frames = new ArrayList<>(read(SNAPSHOT));
        frames.addAll(read(LOG_FILE));
        return frames;
    }

    private List<SnapshotLog.Frame> read(String name) throws IOException {
        byte[] bytes = disk.read(name);
        if (bytes == null) {
            return List.of();
        }
        SnapshotLog.ReadResult r = SnapshotLog.read(bytes);
        if (r.fault() != null) {
            disk.rename(name, name + ASIDE);
            LOG.atWarn()
                    .addKeyValue("event", "past_set_aside")
                    .addKeyValue("file", name + ASIDE)
                    .addKeyValue("frames_used", r.frames().size())
                    .log("{}: {}; the file is set aside", name, r.fault());
        } else if (name.equals(LOG_FILE)) {
            logOpen = r.validBytes() > 0;
            if (r.validBytes() < bytes.length) {
                disk.truncate(name, r.validBytes()); // the tail of a write that a kill cut short
            }
        }
        return r.frames();
    }

    /** Adds to the log. {@return bytes written} */
    public long append(long now, byte[] payload) throws IOException {
        byte[] frame = SnapshotLog.encodeFrame(now, payload);
        if (!logOpen) {
            begin(LOG_FILE, null);
            logOpen = true;
        }
        try {
            disk.append(LOG_FILE, frame);
            disk.sync(LOG_FILE);
        } catch (IOException e) {
            // Half a frame may stand there: nothing may follow it, so the next append begins a log
            // anew.
            logOpen = false;
            throw e;
        }
        return frame.length;
    }

    /** Writes everything anew, and begins a new log. {@return bytes written} */
    public long snapshot(long now, byte[] payload) throws IOException {
        byte[] frame = SnapshotLog.encodeFrame(now, payload);
        begin(SNAPSHOT, frame);
        logOpen = false;
        begin(LOG_FILE, null);
        logOpen = true;
        return frame.length;
    }

    private void begin(String name, byte[] frame) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(SnapshotLog.header());
        if (frame != null) {
            bytes.writeBytes(frame);
        }
        disk.write(NEW, bytes.toByteArray());
        disk.sync(NEW);
        disk.rename(NEW, name);
    }
}
