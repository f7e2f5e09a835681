package sorrelhoist.edge.record;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Queue;
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
 * Records a router's decisions. Chunks are encoded on the router's thread as decisions are made,
 * passed on in background slices within a budget of bytes, and written by a separate thread. If the
 * disk is slow or full, chunks are dropped, and the gap is counted and marked in the record;
 * requests are not affected.
 */
public final class RecordWriter {
    /** The build version in the header of records. */
    public static final String BUILD = "0.2.0";

    private static final Logger LOG = LoggerFactory.getLogger(RecordWriter.class);
    private static final long MAX_PENDING_BYTES = 16 << 20;
    private static final int CHUNKS_PER_SLICE = 16;
    private static final long STOP_TIMEOUT_MILLIS = 2000;
    private static final String THREAD_NAME = "record-writer";

    private final RecordDirectory directory;
    private final SegmentRetention retention;
    private final Recorder recorder;
    private final AnomalyTrigger anomalyTrigger;
    private final Queue<byte[]> chunks = new ArrayDeque<>();
    private final AtomicLong pendingBytes = new AtomicLong();
    private final AtomicBoolean writeFailing = new AtomicBoolean();
    private final ExecutorService writer =
            Executors.newSingleThreadExecutor(
                    task -> {
                        Thread thread = new Thread(task, THREAD_NAME);
                        thread.setDaemon(true);
                        return thread;
                    });
    private Runnable onChunk = () -> {};
    private boolean stopped;

    /** A task that writes to the directory. */
    private interface FileTask {
        void run() throws IOException;
    }

    /**
     * Creates a writer.
     *
     * @param directory the directory of the record
     * @param limits the retention limits of the record
     * @param router the settings of the router whose decisions are recorded
     * @throws IOException if the directory cannot be read
     */
    public RecordWriter(
            RecordDirectory directory, SegmentRetention.Limits limits, RouterSettings router)
            throws IOException {
        this.directory = directory;
        this.retention =
                new SegmentRetention(
                        limits, router.identity().incarnation(), directory.existingFiles());
        this.recorder =
                new Recorder(
                        new RecordEntry.Header(
                                BUILD,
                                router.identity().name(),
                                router.identity().incarnation(),
                                router.routing(),
                                router.seed()),
                        this::enqueue);
        this.anomalyTrigger =
                new AnomalyTrigger(
                        recorder,
                        router.routing().serverLimits().reservationLimitMicros(),
                        this::preserve);
    }

    /**
     * Returns the listener that records the router's decisions, to be called on the router's
     * thread.
     */
    public DecisionListener decisionListener() {
        return anomalyTrigger;
    }

    /**
     * Sets the listener that is notified, on the router's thread, of chunks that wait for {@link
     * #runSlice}.
     *
     * @param listener run after each chunk that was added
     */
    public void onChunk(Runnable listener) {
        onChunk = listener;
    }

    /**
     * Queues a chunk of the recorder. Returns false if the chunk is dropped, because too many bytes
     * are pending or the writer was stopped.
     */
    private boolean enqueue(byte[] chunk) {
        if (stopped || pendingBytes.get() + chunk.length > MAX_PENDING_BYTES) {
            return false;
        }
        pendingBytes.addAndGet(chunk.length);
        chunks.add(chunk);
        onChunk.run();
        return true;
    }

    /**
     * Passes some chunks on to the writer's thread. Called on the router's thread.
     *
     * @param onBytes receives the size of each chunk that is passed on, in bytes
     * @return true if more chunks are queued
     */
    public boolean runSlice(LongConsumer onBytes) {
        for (int i = 0; i < CHUNKS_PER_SLICE && !chunks.isEmpty(); i++) {
            byte[] chunk = chunks.poll();
            onBytes.accept(chunk.length);
            writer.execute(() -> write(chunk));
        }
        return !chunks.isEmpty();
    }

    private void submitAllChunks() {
        boolean more = true;
        while (more) {
            more = runSlice(uncounted -> {});
        }
    }

    /**
     * Preserves everything recorded so far from regular deletion. Called on the router's thread.
     *
     * @param nowMicros the current time, in microseconds
     * @param reason the reason, which is written to the record and to the log
     */
    public void preserve(long nowMicros, String reason) {
        LOG.atWarn()
                .addKeyValue("event", "record_preserved")
                .addKeyValue("reason", reason)
                .log("preserving the decision record: {}", reason);
        recorder.addMarker(nowMicros, reason);
        recorder.flush();
        submitAllChunks();
        writer.execute(() -> perform(this::preserveFiles));
    }

    private void preserveFiles() throws IOException {
        directory.perform(retention.preserveAll(wallClockMicros()), null);
    }

    private static long wallClockMicros() {
        return TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
    }

    private void write(byte[] chunk) {
        try {
            perform(() -> writeAndCheckPreserveRequest(chunk));
        } finally {
            pendingBytes.addAndGet(-chunk.length);
        }
    }

    private void writeAndCheckPreserveRequest(byte[] chunk) throws IOException {
        directory.perform(retention.appendChunk(wallClockMicros(), chunk.length), chunk);
        if (directory.consumePreserveRequest()) {
            preserveFiles();
            LOG.atInfo()
                    .addKeyValue("event", "record_preserved")
                    .log("preserved the decision record on request");
        }
    }

    /** Runs a file task, and logs when tasks start to fail and when they succeed again. */
    private void perform(FileTask task) {
        try {
            task.run();
            if (writeFailing.getAndSet(false)) {
                LOG.atInfo()
                        .addKeyValue("event", "record_write_recovered")
                        .log("writing the decision record succeeds again");
            }
        } catch (IOException e) {
            // The file may end with a partial chunk, so nothing may be appended to it.
            retention.writeFailed();
            if (!writeFailing.getAndSet(true)) {
                LOG.atWarn()
                        .addKeyValue("event", "record_write_failed")
                        .log(
                                "failed to write the decision record; its gap starts here: {}",
                                e.toString());
            }
        }
    }

    /** Returns the number of recorded bytes that are not written yet. */
    long pendingBytes() {
        return pendingBytes.get();
    }

    /**
     * Writes the remaining chunks and a final marker, and stops the writer's thread. Has to be the
     * last call on the router's thread. Blocks for a limited time.
     *
     * @param nowMicros the current time, in microseconds
     */
    public void stop(long nowMicros) {
        recorder.flush();
        submitAllChunks();
        writer.shutdown();
        try {
            if (writer.awaitTermination(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                // The writer's thread has ended, so this thread may write. The last chunk also
                // counts
                // the chunks that were dropped before it.
                recorder.addMarker(nowMicros, "the edge stopped");
                recorder.flush();
                chunks.forEach(this::write);
                chunks.clear();
            } else {
                LOG.atWarn()
                        .addKeyValue("event", "record_write_failed")
                        .log("timed out writing the end of the decision record");
            }
            stopped = true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
