package sorrelhoist.edge.record;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.core.record.AnomalyTrigger;
import sorrelhoist.core.record.DecisionListener;
import sorrelhoist.core.record.RecordEntry;
import sorrelhoist.core.record.Recorder;
import sorrelhoist.core.record.SegmentRetention;
import sorrelhoist.core.request.RouterSettings;

/**
 * Records what a router decides. Chunks are made on the router's thread as things happen, handed on
 * in background slices within a budget of bytes, and written by a thread of their own: a disk that
 * is slow or full costs the record its chunks, counted and marked, and costs requests nothing.
 */
public final class RecordWork {
    /** The version that records name. */
    public static final String BUILD = "0.2.0";

    private static final Logger LOG = LoggerFactory.getLogger(RecordWork.class);
    private static final long PENDING = 16 << 20; // bytes that wait for the disk at most
    private static final int SLICE = 16; // chunks handed on at once
    private static final long STOP_MILLIS = 2000;
    private final RecordFolder folder;
    private final SegmentRetention shelf;
    private final Recorder recorder;
    private final AnomalyTrigger danger;
    private final ArrayDeque<byte[]> made = new ArrayDeque<>();
    private final AtomicLong pending = new AtomicLong();
    private final AtomicBoolean broken = new AtomicBoolean();
    private Runnable due = () -> {};
    private boolean ended;
    private final ExecutorService thread =
            Executors.newSingleThreadExecutor(
                    r -> {
                        Thread t = new Thread(r, "record");
                        t.setDaemon(true);
                        return t;
                    });

    /**
     * Makes it.
     *
     * @param folder where the record lies
     * @param bounds of it
     * @param router what is recorded
     */
    public RecordWork(RecordFolder folder, SegmentRetention.Limits bounds, RouterSettings router)
            throws IOException {
        this.folder = folder;
        this.shelf = new SegmentRetention(bounds, router.identity().incarnation(), folder.found());
        this.recorder =
                new Recorder(
                        new RecordEntry.Header(
                                BUILD,
                                router.identity().name(),
                                router.identity().incarnation(),
                                router.routing(),
                                router.seed()),
                        this::take);
        this.danger =
                new AnomalyTrigger(
                        recorder,
                        router.routing().serverLimits().reservationLimitMicros(),
                        this::keep);
    }

    /** {@return what the router tells; on its thread} */
    public DecisionListener tap() {
        return danger;
    }

    /** Sets who is told that chunks wait, on the router's thread. */
    public void onDue(Runnable wake) {
        due = wake;
    }

    private boolean take(byte[] chunk) {
        if (ended || pending.get() + chunk.length > PENDING) {
            return false;
        }
        pending.addAndGet(chunk.length);
        made.add(chunk);
        due.run();
        return true;
    }

    /** Hands on what is made, on the router's thread. {@return whether more is left} */
    public boolean slice(LongConsumer moved) {
        for (int i = 0; i < SLICE && !made.isEmpty(); i++) {
            byte[] chunk = made.poll();
            moved.accept(chunk.length);
            thread.execute(() -> write(chunk));
        }
        return !made.isEmpty();
    }

    /** Keeps what is there: what goes before is written first. On the router's thread. */
    public void keep(long at, String why) {
        LOG.atWarn()
                .addKeyValue("event", "record_kept")
                .addKeyValue("why", why)
                .log("the record is kept: {}", why);
        recorder.addMarker(at, why);
        recorder.flush();
        while (slice(n -> {})) {
            // All that was made goes before the keeping.
        }
        thread.execute(() -> carry(() -> folder.carry(shelf.preserveAll(wall()), null)));
    }

    private static long wall() {
        return System.currentTimeMillis() * 1000;
    }

    private interface Work {
        void run() throws IOException;
    }

    private void write(byte[] chunk) {
        try {
            carry(
                    () -> {
                        folder.carry(shelf.appendChunk(wall(), chunk.length), chunk);
                        if (folder.keepAsked()) {
                            folder.carry(shelf.preserveAll(wall()), null);
                            LOG.atInfo()
                                    .addKeyValue("event", "record_kept")
                                    .log("the record is kept, as was asked");
                        }
                    });
        } finally {
            pending.addAndGet(-chunk.length);
        }
    }

    private void carry(Work work) {
        try {
            work.run();
            if (broken.getAndSet(false)) {
                LOG.atInfo()
                        .addKeyValue("event", "record_written")
                        .log("the record can be written again");
            }
        } catch (IOException e) {
            // What did not fit may have left half a chunk: nothing may follow it in that file.
            shelf.writeFailed();
            if (!broken.getAndSet(true)) {
                LOG.atWarn()
                        .addKeyValue("event", "record_unwritten")
                        .log(
                                "the record cannot be written, and has a gap " + "from here on: {}",
                                e.toString());
            }
        }
    }

    /** {@return bytes that are made and not on the disk yet} */
    long pending() {
        return pending.get();
    }

    /** Writes what is left, with a mark at its end, and ends; last on the router's thread. */
    public void stop(long at) {
        recorder.flush();
        while (slice(n -> {})) {
            // To the end.
        }
        thread.shutdown();
        try {
            if (thread.awaitTermination(STOP_MILLIS, TimeUnit.MILLISECONDS)) {
                // Alone now; what was lost just before is counted in this chunk.
                recorder.addMarker(at, "the edge stopped");
                recorder.flush();
                made.forEach(this::write);
                made.clear();
            } else {
                LOG.atWarn()
                        .addKeyValue("event", "record_unwritten")
                        .log("the end of the record was not written");
            }
            ended = true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
