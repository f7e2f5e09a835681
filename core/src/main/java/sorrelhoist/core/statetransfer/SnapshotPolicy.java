package sorrelhoist.core.statetransfer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import sorrelhoist.core.statetransfer.KnowledgeCodec.CorruptKnowledgeException;
import sorrelhoist.routing.Knowledge;

/**
 * Decides when a router writes snapshots, and which of them are still worth restoring. Between full
 * snapshots, incremental ones of what was used lately are appended; a restart restores the newest
 * first, as later imports do not replace what is known already.
 */
public final class SnapshotPolicy {
    /** What to write now. */
    public enum SnapshotKind {
        /** Nothing is due. */
        NONE,
        /** What was used lately, to be appended to the log. */
        INCREMENTAL,
        /** Everything, in place of what is on disk. */
        FULL
    }

    /**
     * Knowledge that was read back.
     *
     * @param knowledge what was known
     * @param ageMicros how long ago that was, in microseconds
     */
    public record RestoredSnapshot(Knowledge knowledge, long ageMicros) {}

    /**
     * Bytes of keys in an incremental snapshot: keys that were used since the one before are few,
     * and the most recent matter most.
     */
    public static final int MAX_INCREMENTAL_BYTES = 64 << 10;

    /** Bytes of keys in a full snapshot. */
    public static final int MAX_FULL_BYTES = 8 << 20;

    private static final long INCREMENTAL_INTERVAL_MICROS = 5_000_000;
    private static final long FULL_INTERVAL_MICROS = 60_000_000;

    /** Bytes of incremental snapshots after which a full one is due. */
    private static final long MAX_LOG_BYTES = 4 << 20;

    /** Half an hour: by then the fleet is no longer the one that was learned. */
    private static final long MAX_AGE_MICROS = 1_800_000_000;

    private long lastWrittenAt;
    private long lastFullAt;
    private long logBytes;

    /**
     * Creates a policy that has written nothing; the first snapshot is due after its interval.
     *
     * @param now microseconds
     */
    public SnapshotPolicy(long now) {
        lastWrittenAt = now;
        lastFullAt = now;
    }

    /**
     * {@return what is due}
     *
     * @param now microseconds
     */
    public SnapshotKind kindDue(long now) {
        if (now - lastFullAt >= FULL_INTERVAL_MICROS || logBytes >= MAX_LOG_BYTES) {
            return SnapshotKind.FULL;
        }
        return now - lastWrittenAt >= INCREMENTAL_INTERVAL_MICROS
                ? SnapshotKind.INCREMENTAL
                : SnapshotKind.NONE;
    }

    /** {@return when something is due next, in microseconds} */
    public long nextDueAt() {
        return Math.min(
                lastWrittenAt + INCREMENTAL_INTERVAL_MICROS, lastFullAt + FULL_INTERVAL_MICROS);
    }

    /**
     * A snapshot was written, or could not be: either way the next is due after its interval.
     *
     * @param now microseconds
     * @param kind what was written
     * @param bytes that an incremental one added to the log
     */
    public void snapshotWritten(long now, SnapshotKind kind, long bytes) {
        lastWrittenAt = now;
        if (kind == SnapshotKind.FULL) {
            lastFullAt = now;
            logBytes = 0;
        } else {
            logBytes += bytes;
        }
    }

    /**
     * Selects what is worth restoring.
     *
     * @param now microseconds since 1970
     * @param frames of snapshot and log, in any order
     * @return what is not too old and can be read, the newest first; frames of the future count as
     *     just written, as the clock was set back
     */
    public static List<RestoredSnapshot> selectRestorable(
            long now, List<SnapshotLog.Frame> frames) {
        List<SnapshotLog.Frame> newestFirst = new ArrayList<>(frames);
        newestFirst.sort(Comparator.comparingLong(frame -> -frame.savedAt()));
        List<RestoredSnapshot> restorable = new ArrayList<>();
        for (SnapshotLog.Frame frame : newestFirst) {
            long age = Math.max(0, now - frame.savedAt());
            if (age <= MAX_AGE_MICROS) {
                decode(frame).ifPresent(known -> restorable.add(new RestoredSnapshot(known, age)));
            }
        }
        return restorable;
    }

    private static Optional<Knowledge> decode(SnapshotLog.Frame frame) {
        try {
            return Optional.of(KnowledgeCodec.decode(frame.payload()));
        } catch (CorruptKnowledgeException e) {
            // Whole by its checksum, but of a version that is too far away.
            return Optional.empty();
        }
    }
}
