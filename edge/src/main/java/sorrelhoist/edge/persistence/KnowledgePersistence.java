package sorrelhoist.edge.persistence;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.core.statetransfer.KnowledgeCodec;
import sorrelhoist.core.statetransfer.SnapshotLog;
import sorrelhoist.core.statetransfer.SnapshotPolicy;
import sorrelhoist.routing.Knowledge;

/**
 * Restores a router's knowledge when it starts, and persists it while it runs. Called on the
 * router's thread; a separate thread writes to storage.
 */
public final class KnowledgePersistence {
    private static final Logger LOG = LoggerFactory.getLogger(KnowledgePersistence.class);
    private static final int MAX_INCREMENTAL_PREFIXES = 2000;
    private static final int MAX_FULL_PREFIXES = 50_000;
    private static final long STOP_TIMEOUT_SECONDS = 2;
    private static final String THREAD_NAME = "snapshot-writer";

    private final SnapshotStore store;
    private final SnapshotPolicy policy;
    private final ExecutorService writer =
            Executors.newSingleThreadExecutor(
                    task -> {
                        Thread thread = new Thread(task, THREAD_NAME);
                        thread.setDaemon(true);
                        return thread;
                    });

    /** Whether the last write failed; accessed on the writer's thread only. */
    private boolean writeFailing;

    /**
     * Creates a persistence without reading from storage.
     *
     * @param storage the storage of the snapshots
     * @param nowMicros the current time, in microseconds since 1970
     */
    public KnowledgePersistence(SnapshotStorage storage, long nowMicros) {
        this.store = new SnapshotStore(storage);
        this.policy = new SnapshotPolicy(nowMicros);
    }

    /**
     * Reads the persisted snapshots.
     *
     * @param nowMicros the current time, in microseconds since 1970
     * @return the snapshots that are still useful, the newest first; empty if there are none or
     *     they cannot be read, which is logged
     */
    public List<SnapshotPolicy.RestoredSnapshot> restore(long nowMicros) {
        try {
            List<SnapshotLog.Frame> frames = store.restore();
            List<SnapshotPolicy.RestoredSnapshot> restorable =
                    SnapshotPolicy.selectRestorable(nowMicros, frames);
            LOG.atInfo()
                    .addKeyValue("event", "snapshots_restored")
                    .addKeyValue("frames", frames.size())
                    .addKeyValue("restorable", restorable.size())
                    .log("own snapshots restored");
            return restorable;
        } catch (IOException e) {
            LOG.atWarn()
                    .addKeyValue("event", "snapshots_unreadable")
                    .log("failed to read own snapshots: {}", e.toString());
            return List.of();
        }
    }

    /**
     * Returns the maximum number of prefixes in the snapshot that is due; 0 if none is due.
     *
     * @param nowMicros the current time, in microseconds since 1970
     */
    public int maxPrefixesDue(long nowMicros) {
        return switch (policy.kindDue(nowMicros)) {
            case NONE -> 0;
            case INCREMENTAL -> MAX_INCREMENTAL_PREFIXES;
            case FULL -> MAX_FULL_PREFIXES;
        };
    }

    /** Returns the time at which the next snapshot is due, in microseconds since 1970. */
    public long nextDueAt() {
        return policy.nextDueAt();
    }

    /**
     * Writes the snapshot that is due on the writer's thread. Failures are logged.
     *
     * @param nowMicros the current time, in microseconds since 1970
     * @param knowledge the router's knowledge
     */
    public void write(long nowMicros, Knowledge knowledge) {
        SnapshotPolicy.SnapshotKind kind = policy.kindDue(nowMicros);
        boolean full = kind == SnapshotPolicy.SnapshotKind.FULL;
        policy.snapshotWritten(nowMicros, kind, full ? 0 : SnapshotPolicy.MAX_INCREMENTAL_BYTES);
        writer.execute(() -> store(nowMicros, knowledge, full));
    }

    private void store(long nowMicros, Knowledge knowledge, boolean full) {
        try {
            if (full) {
                store.replaceAll(
                        nowMicros, KnowledgeCodec.encode(knowledge, SnapshotPolicy.MAX_FULL_BYTES));
            } else {
                store.append(
                        nowMicros,
                        KnowledgeCodec.encode(knowledge, SnapshotPolicy.MAX_INCREMENTAL_BYTES));
            }
            writeFailing = false;
        } catch (IOException e) {
            if (!writeFailing) {
                writeFailing = true;
                LOG.atWarn()
                        .addKeyValue("event", "snapshot_write_failed")
                        .log("failed to write a snapshot: {}", e.toString());
            }
        }
    }

    /** Finishes the pending writes, and stops the writer's thread. Blocks for a limited time. */
    public void stop() {
        writer.shutdown();
        try {
            writer.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
