package sorrelhoist.edge.past;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.Knowledge;
import sorrelhoist.core.know.KnowledgeForm;
import sorrelhoist.core.know.PastFrames;
import sorrelhoist.core.know.PastKeeper;

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
    private final PastKeeper keeper;
    private boolean complained;

    /**
     * Makes it.
     *
     * @param disk where the past lies
     * @param now microseconds since 1970
     */
    public PastWork(Disk disk, long now) {
        this.store = new PastStore(disk);
        this.keeper = new PastKeeper(now);
    }

    /**
     * {@return what is believed of the past, the newest first; empty where there is none or it
     * cannot be read}
     */
    public List<PastKeeper.Memory> restore(long now) {
        try {
            List<PastFrames.Frame> frames = store.restore();
            List<PastKeeper.Memory> believed = PastKeeper.believe(now, frames);
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
        return switch (keeper.due(now)) {
            case NOTHING -> 0;
            case APPEND -> APPEND_KEYS;
            case SNAPSHOT -> SNAPSHOT_KEYS;
        };
    }

    /** {@return when something is due next} */
    public long nextAt() {
        return keeper.nextAt();
    }

    /** Writes what is due, on its own thread. */
    public void write(long now, Knowledge known) {
        PastKeeper.Step step = keeper.due(now);
        boolean all = step == PastKeeper.Step.SNAPSHOT;
        keeper.wrote(now, step, all ? 0 : PastKeeper.APPEND_BYTES);
        thread.execute(
                () -> {
                    try {
                        byte[] bytes =
                                KnowledgeForm.write(
                                        known,
                                        all ? PastKeeper.SNAPSHOT_BYTES : PastKeeper.APPEND_BYTES);
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
