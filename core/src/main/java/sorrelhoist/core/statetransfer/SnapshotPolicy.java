package sorrelhoist.core.statetransfer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import sorrelhoist.routing.Knowledge;

/**
 * Decides when a router writes down what it knows, and what of its past is still worth believing.
 * Between snapshots of everything, smaller ones of what was used lately are appended; a restart
 * takes the newest first, as what is already known stays.
 */
public final class SnapshotPolicy {
    /** What to write now. */
    public enum SnapshotKind {
        NONE,
        INCREMENTAL,
        FULL
    }

    /**
     * A piece of the past.
     *
     * @param knowledge what
     * @param age how old, in microseconds
     */
    public record RestoredSnapshot(Knowledge knowledge, long age) {}

    /**
     * Keys that an append holds: those used since the one before are few, the most recent matter
     * most.
     */
    public static final int MAX_INCREMENTAL_BYTES = 64 << 10;

    /** Bytes of keys that a snapshot holds. */
    public static final int MAX_FULL_BYTES = 8 << 20;

    private static final long APPEND_EVERY = 5_000_000;
    private static final long SNAPSHOT_EVERY = 60_000_000;
    private static final long LOG_BYTES = 4 << 20;
    private static final long MAX_AGE =
            1_800_000_000; // half an hour: the fleet of then is not that of now
    private long appendedAt;
    private long snapshotAt;
    private long logBytes;

    /** Makes one that has written nothing; its first step is due a little after the start. */
    public SnapshotPolicy(long now) {
        appendedAt = now;
        snapshotAt = now;
    }

    /** {@return what is due} */
    public SnapshotKind kindDue(long now) {
        return now - snapshotAt >= SNAPSHOT_EVERY || logBytes >= LOG_BYTES
                ? SnapshotKind.FULL
                : now - appendedAt >= APPEND_EVERY ? SnapshotKind.INCREMENTAL : SnapshotKind.NONE;
    }

    /** {@return when something is due next} */
    public long nextDueAt() {
        return Math.min(appendedAt + APPEND_EVERY, snapshotAt + SNAPSHOT_EVERY);
    }

    /** It was written, or could not be: either way the next is due after its time. */
    public void snapshotWritten(long now, SnapshotKind step, long bytes) {
        appendedAt = now;
        if (step == SnapshotKind.FULL) {
            snapshotAt = now;
            logBytes = 0;
        } else {
            logBytes += bytes;
        }
    }

    /**
     * What of a past is worth believing.
     *
     * @param now microseconds since 1970
     * @param frames of snapshot and log, in any order
     * @return memories, the newest first; frames of the future count as just written, as a clock
     *     was set back
     */
    public static List<RestoredSnapshot> selectRestorable(
            long now, List<SnapshotLog.Frame> frames) {
        List<SnapshotLog.Frame> ordered = new ArrayList<>(frames);
        ordered.sort(Comparator.comparingLong(f -> -f.savedAt()));
        List<RestoredSnapshot> memories = new ArrayList<>();
        for (SnapshotLog.Frame f : ordered) {
            long age = Math.max(0, now - f.savedAt());
            if (age <= MAX_AGE) {
                try {
                    memories.add(new RestoredSnapshot(KnowledgeCodec.decode(f.payload()), age));
                } catch (KnowledgeCodec.CorruptKnowledgeException e) {
                    continue; // whole by its checksum, but of a version that is too far away
                }
            }
        }
        return memories;
    }
}
