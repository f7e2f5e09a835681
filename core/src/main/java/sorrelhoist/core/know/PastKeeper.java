package sorrelhoist.core.know;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import sorrelhoist.Knowledge;

/**
 * Decides when a router writes down what it knows, and what of its past is still worth believing.
 * Between snapshots of everything, smaller ones of what was used lately are appended; a restart
 * takes the newest first, as what is already known stays.
 */
public final class PastKeeper {
    /** What to write now. */
    public enum Step {
        NOTHING,
        APPEND,
        SNAPSHOT
    }

    /**
     * A piece of the past.
     *
     * @param knowledge what
     * @param age how old, in microseconds
     */
    public record Memory(Knowledge knowledge, long age) {}

    /**
     * Keys that an append holds: those used since the one before are few, the most recent matter
     * most.
     */
    public static final int APPEND_BYTES = 64 << 10;

    /** Bytes of keys that a snapshot holds. */
    public static final int SNAPSHOT_BYTES = 8 << 20;

    private static final long APPEND_EVERY = 5_000_000;
    private static final long SNAPSHOT_EVERY = 60_000_000;
    private static final long LOG_BYTES = 4 << 20;
    private static final long MAX_AGE =
            1_800_000_000; // half an hour: the fleet of then is not that of now
    private long appendedAt;
    private long snapshotAt;
    private long logBytes;

    /** Makes one that has written nothing; its first step is due a little after the start. */
    public PastKeeper(long now) {
        appendedAt = now;
        snapshotAt = now;
    }

    /** {@return what is due} */
    public Step due(long now) {
        return now - snapshotAt >= SNAPSHOT_EVERY || logBytes >= LOG_BYTES
                ? Step.SNAPSHOT
                : now - appendedAt >= APPEND_EVERY ? Step.APPEND : Step.NOTHING;
    }

    /** {@return when something is due next} */
    public long nextAt() {
        return Math.min(appendedAt + APPEND_EVERY, snapshotAt + SNAPSHOT_EVERY);
    }

    /** It was written, or could not be: either way the next is due after its time. */
    public void wrote(long now, Step step, long bytes) {
        appendedAt = now;
        if (step == Step.SNAPSHOT) {
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
    public static List<Memory> believe(long now, List<PastFrames.Frame> frames) {
        List<PastFrames.Frame> ordered = new ArrayList<>(frames);
        ordered.sort(Comparator.comparingLong(f -> -f.savedAt()));
        List<Memory> memories = new ArrayList<>();
        for (PastFrames.Frame f : ordered) {
            long age = Math.max(0, now - f.savedAt());
            if (age <= MAX_AGE) {
                try {
                    memories.add(new Memory(KnowledgeForm.read(f.payload()), age));
                } catch (KnowledgeForm.Unreadable e) {
                    continue; // whole by its checksum, but of a version that is too far away
                }
            }
        }
        return memories;
    }
}
