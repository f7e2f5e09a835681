package sorrelhoist.core.statetransfer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import sorrelhoist.core.statetransfer.KnowledgeCodec.CorruptKnowledgeException;
import sorrelhoist.routing.Knowledge;

/**
 * Decides when a router writes snapshots, and selects those that are restored. Between full
 * snapshots, incremental snapshots of recently used keys are appended to a log. A restart restores
 * the newest snapshot first, as later imports do not replace existing knowledge.
 */
public final class SnapshotPolicy {
    /** The kind of snapshot to write. */
    public enum SnapshotKind {
        /** No snapshot is due. */
        NONE,
        /** Recently used keys, to be appended to the log. */
        INCREMENTAL,
        /** All knowledge, to replace what is on disk. */
        FULL
    }

    /**
     * Knowledge that was read from a snapshot.
     *
     * @param knowledge the knowledge
     * @param ageMicros age of the snapshot, in microseconds
     */
    public record RestoredSnapshot(Knowledge knowledge, long ageMicros) {}

    /**
     * Maximum bytes of keys in an incremental snapshot. Few keys are used between two snapshots,
     * and the most recently used ones matter most.
     */
    public static final int MAX_INCREMENTAL_BYTES = 64 << 10;

    /** Maximum bytes of keys in a full snapshot. */
    public static final int MAX_FULL_BYTES = 8 << 20;

    private static final long INCREMENTAL_INTERVAL_MICROS = 5_000_000;
    private static final long FULL_INTERVAL_MICROS = 60_000_000;

    /** Bytes of incremental snapshots at which a full snapshot is due. */
    private static final long MAX_LOG_BYTES = 4 << 20;

    /**
     * Maximum age of a snapshot that is restored: half an hour, after which the fleet differs too
     * much from the one that was learned.
     */
    private static final long MAX_AGE_MICROS = 1_800_000_000;

    private long lastWrittenAt;
    private long lastFullAt;
    private long logBytes;

    /**
     * Creates a policy for a router that has written no snapshot since its start; the first one is
     * due after its interval.
     *
     * @param now current time, in microseconds
     */
    public SnapshotPolicy(long now) {
        lastWrittenAt = now;
        lastFullAt = now;
    }

    /**
     * {@return the kind of snapshot that is due}
     *
     * @param now current time, in microseconds
     */
    public SnapshotKind kindDue(long now) {
        if (now - lastFullAt >= FULL_INTERVAL_MICROS || logBytes >= MAX_LOG_BYTES) {
            return SnapshotKind.FULL;
        }
        return now - lastWrittenAt >= INCREMENTAL_INTERVAL_MICROS
                ? SnapshotKind.INCREMENTAL
                : SnapshotKind.NONE;
    }

    /** {@return the time when the next snapshot is due by its interval, in microseconds} */
    public long nextDueAt() {
        return Math.min(
                lastWrittenAt + INCREMENTAL_INTERVAL_MICROS, lastFullAt + FULL_INTERVAL_MICROS);
    }

    /**
     * Registers that a snapshot was written, or that writing it failed; in both cases the next one
     * is due after its interval.
     *
     * @param now current time, in microseconds
     * @param kind kind of the snapshot
     * @param bytes number of bytes that an incremental snapshot added to the log
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
     * Selects the snapshots to be restored.
     *
     * @param now current time, in microseconds since 1970
     * @param frames frames of the snapshot file and the log, in any order
     * @return the snapshots that are recent enough and can be decoded, the newest first; frames
     *     with a time in the future count as just written, as the clock must have been set back
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
            // The checksum is valid, but the version is not supported.
            return Optional.empty();
        }
    }
}
