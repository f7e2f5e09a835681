package sorrelhoist.edge.past;

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
 * Reads a router's past at its start, and writes what it knows as it goes on; the disk has a thread
 * of its own.
 */
public final class PastWork {
    private static final Logger LOG = LoggerFactory.getLogger(PastWork.class);
    private static final int APPEND_KEYS = 2000;
    private static final int SNAPSHOT_KEYS = 50_000;
    private final PastStore store;
    private final ExecutorService thread =
            Executors.newSingleThreadExecutor(
                    r -> {
                        Thread t = new Thread(r, "past");
                        t.setDaemon(true);
                        return t;
                    });
    private final SnapshotPolicy keeper;
    private boolean complained;

    /**
     * Makes it.
     *
     * @param disk where the past lies
     * @param now microseconds since 1970
     */
    public PastWork(Disk disk, long now) {
        this.store = new PastStore(disk);
        this.keeper = new SnapshotPolicy(now);
    }

    /**
     * {@return what is believed of the past, the newest first; empty where there is none or it
     * cannot be read}
     */
    public List<SnapshotPolicy.RestoredSnapshot> restore(long now) {
        try {
            List<SnapshotLog.Frame> frames = store.restore();
            List<SnapshotPolicy.RestoredSnapshot> believed =
                    SnapshotPolicy.selectRestorable(now, frames);
            LOG.atInfo()
                    .addKeyValue("event", "past")
                    .addKeyValue("frames", frames.size())
                    .addKeyValue("believed", believed.size())
                    .log("own past read");
            return believed;
        } catch (IOException e) {
            LOG.atWarn()
                    .addKeyValue("event", "past_unreadable")
                    .log("the past cannot be read: {}", e.toString());
            return List.of();
        }
    }

    /** {@return how many keys what is due next should hold; 0 where nothing is due} */
    public int keysDue(long now) {
        return switch (keeper.kindDue(now)) {
            case NONE -> 0;
            case INCREMENTAL -> APPEND_KEYS;
            case FULL -> SNAPSHOT_KEYS;
        };
    }

    /** {@return when something is due next} */
    public long nextAt() {
        return keeper.nextDueAt();
    }

    /** Writes what is due, on its own thread. */
    public void write(long now, Knowledge known) {
        SnapshotPolicy.SnapshotKind step = keeper.kindDue(now);
        boolean all = step == SnapshotPolicy.SnapshotKind.FULL;
        keeper.snapshotWritten(now, step, all ? 0 : SnapshotPolicy.MAX_INCREMENTAL_BYTES);
        thread.execute(
                () -> {
                    try {
                        byte[] bytes =
                                KnowledgeCodec.encode(
                                        known,
                                        all
                                                ? SnapshotPolicy.MAX_FULL_BYTES
                                                : SnapshotPolicy.MAX_INCREMENTAL_BYTES);
                        if (all) {
                            store.snapshot(now, bytes);
                        } else {
                            store.append(now, bytes);
                        }
                        complained = false;
                    } catch (IOException e) {
                        if (!complained) {
                            complained = true;
                            LOG.atWarn()
                                    .addKeyValue("event", "past_unwritten")
                                    .log("the past cannot be written: {}", e.toString());
                        }
                    }
                });
    }

    /** Finishes what is being written. */
    public void stop() {
        thread.shutdown();
        try {
            thread.awaitTermination(2, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
