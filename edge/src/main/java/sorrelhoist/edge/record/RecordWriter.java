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
 * Records a router's decisions. Chunks are encoded on the router's thread as things happen, handed
 * on in background slices within a budget of bytes, and written by a thread of their own. A disk
 * that is slow or full costs the record its chunks, which are counted and marked, and costs
 * requests nothing.
 */
public final class RecordWriter {
    /** The build that records name. */
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
    private boolean ended;

    /** A step that writes to the directory. */
    private interface FileTask {
        void run() throws IOException;
    }

    /**
     * Creates a writer.
     *
     * @param directory where the record lies
     * @param limits how much of it stays
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

    /** {@return the listener to the router's decisions, to be called on its thread} */
    public DecisionListener decisionListener() {
        return anomalyTrigger;
    }

    /**
     * Sets who is told, on the router's thread, that a chunk waits for {@link #runSlice}.
     *
     * @param listener the listener
     */
    public void onChunk(Runnable listener) {
        onChunk = listener;
    }

    /** Takes a chunk from the recorder. {@return false if it has to be dropped} */
    private boolean enqueue(byte[] chunk) {
        if (ended || pendingBytes.get() + chunk.length > MAX_PENDING_BYTES) {
            return false;
        }
        pendingBytes.addAndGet(chunk.length);
        chunks.add(chunk);
        onChunk.run();
        return true;
    }

    /**
     * Hands some chunks on to the writing thread; on the router's thread.
     *
     * @param onBytes takes the number of bytes handed on
     * @return whether more chunks wait
     */
    public boolean runSlice(LongConsumer onBytes) {
        for (int i = 0; i < CHUNKS_PER_SLICE && !chunks.isEmpty(); i++) {
            byte[] chunk = chunks.poll();
            onBytes.accept(chunk.length);
            writer.execute(() -> write(chunk));
        }
        return !chunks.isEmpty();
    }

    private void handOnAllChunks() {
        boolean more = true;
        while (more) {
            more = runSlice(uncounted -> {});
        }
    }

    /**
     * Preserves what is recorded so far, so that it is not deleted; on the router's thread.
     *
     * @param nowMicros the time, in microseconds
     * @param reason why, as the record and the log will say
     */
    public void preserve(long nowMicros, String reason) {
        LOG.atWarn()
                .addKeyValue("event", "record_preserved")
                .addKeyValue("reason", reason)
                .log("the record is preserved: {}", reason);
        recorder.addMarker(nowMicros, reason);
        recorder.flush();
        handOnAllChunks();
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
            perform(() -> writeAndTakePreserveRequest(chunk));
        } finally {
            pendingBytes.addAndGet(-chunk.length);
        }
    }

    private void writeAndTakePreserveRequest(byte[] chunk) throws IOException {
        directory.perform(retention.appendChunk(wallClockMicros(), chunk.length), chunk);
        if (directory.takePreserveRequest()) {
            preserveFiles();
            LOG.atInfo()
                    .addKeyValue("event", "record_preserved")
                    .log("the record is preserved, as requested");
        }
    }

    /** Runs a step, and logs when steps begin to fail and when they succeed again. */
    private void perform(FileTask task) {
        try {
            task.run();
            if (writeFailing.getAndSet(false)) {
                LOG.atInfo()
                        .addKeyValue("event", "record_write_recovered")
                        .log("the record can be written again");
            }
        } catch (IOException e) {
            // A partial chunk may stand there: nothing may follow it in that file.
            retention.writeFailed();
            if (!writeFailing.getAndSet(true)) {
                LOG.atWarn()
                        .addKeyValue("event", "record_write_failed")
                        .log(
                                "the record cannot be written, and has a gap from here on: {}",
                                e.toString());
            }
        }
    }

    /** {@return bytes that are recorded and not written yet} */
    long pendingBytes() {
        return pendingBytes.get();
    }

    /**
     * Writes what is left with a marker at its end, and ends. The last call on the router's thread;
     * blocks for a limited time.
     *
     * @param nowMicros the time, in microseconds
     */
    public void stop(long nowMicros) {
        recorder.flush();
        handOnAllChunks();
        writer.shutdown();
        try {
            if (writer.awaitTermination(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                // No other thread writes now; this chunk counts what was dropped just before.
                recorder.addMarker(nowMicros, "the edge stopped");
                recorder.flush();
                chunks.forEach(this::write);
                chunks.clear();
            } else {
                LOG.atWarn()
                        .addKeyValue("event", "record_write_failed")
                        .log("the end of the record was not written");
            }
            ended = true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
