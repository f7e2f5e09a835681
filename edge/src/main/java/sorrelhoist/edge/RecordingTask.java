package sorrelhoist.edge;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.core.record.DecisionListener;
import sorrelhoist.core.record.SegmentRetention;
import sorrelhoist.core.request.RouterSettings;
import sorrelhoist.core.scheduling.BackgroundScheduler;
import sorrelhoist.edge.record.RecordDirectory;
import sorrelhoist.edge.record.RecordWriter;

/** Records an edge's decisions as a background job of its router. */
final class RecordingTask {
    private static final Logger LOG = LoggerFactory.getLogger(RecordingTask.class);
    private static final BackgroundScheduler.Job JOB =
            new BackgroundScheduler.Job("record", 3, 50_000, 64 << 20, 100_000);

    /** Number of segments of a record. The oldest segment is deleted as a whole. */
    private static final int SEGMENTS = 8;

    private static final long MIN_SEGMENT_BYTES = 1 << 20;

    private final RecordWriter writer;

    private RecordingTask(RecordWriter writer) {
        this.writer = writer;
    }

    /**
     * Opens the directory of the record. Returns empty if none is configured or it cannot be used;
     * the latter is logged.
     */
    static Optional<RecordingTask> open(
            EdgeSettings.RecordSettings settings, RouterSettings router) {
        if (settings.folder().isEmpty()) {
            return Optional.empty();
        }
        try {
            RecordDirectory directory = new RecordDirectory(Path.of(settings.folder()));
            return Optional.of(
                    new RecordingTask(new RecordWriter(directory, limits(settings), router)));
        } catch (IOException e) {
            LOG.atWarn()
                    .addKeyValue("event", "record_write_failed")
                    .log(
                            "failed to open record.folder {}, so no decisions are recorded: {}",
                            settings.folder(),
                            e.toString());
            return Optional.empty();
        }
    }

    private static SegmentRetention.Limits limits(EdgeSettings.RecordSettings settings) {
        long bytes = megabytes(settings.megabytes());
        return new SegmentRetention.Limits(
                Math.max(MIN_SEGMENT_BYTES, bytes / SEGMENTS),
                bytes,
                TimeUnit.MINUTES.toMicros(settings.minutes()),
                megabytes(settings.keptMegabytes()));
    }

    private static long megabytes(int count) {
        return (long) count << 20;
    }

    /** Returns the listener that records the router's decisions. */
    DecisionListener decisionListener() {
        return writer.decisionListener();
    }

    /** Adds the background job to the router, and schedules it whenever a chunk is ready. */
    void start(RouterEventLoop router) {
        router.addBackgroundJob(
                JOB, now -> writer.runSlice(router::countBackgroundBytes) ? now : Long.MAX_VALUE);
        router.execute(r -> writer.onChunk(() -> router.scheduleBackgroundJob(JOB)));
    }

    /** Writes the remaining chunks. Called on the router's thread. */
    void stop(long nowMicros) {
        writer.stop(nowMicros);
    }
}
