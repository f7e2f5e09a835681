package sorrelhoist.app.command;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sorrelhoist.adapter.SimulatorAdapter;
import sorrelhoist.core.record.ChunkCodec;
import sorrelhoist.core.record.RecordEntry;
import sorrelhoist.core.record.Recorder;
import sorrelhoist.core.record.SegmentRetention;
import sorrelhoist.edge.record.RecordWriter;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingEvents.Event;
import sorrelhoist.routing.RoutingSettings;

/**
 * Records the decisions of the routers behind the simulator's line protocol, one file per router,
 * in the format of an edge's record. File names contain the process id, since a simulator may host
 * routers in several processes and restart a router in another process.
 */
final class SimulatorRecorder implements SimulatorAdapter.DecisionListener, AutoCloseable {
    private record RouterRecord(Recorder recorder, OutputStream file) {}

    private final Path folder;
    private final Map<Long, RouterRecord> records = new HashMap<>();
    private long starts;

    /**
     * Creates a recorder that writes to a folder.
     *
     * @param folder the folder; created if missing
     * @throws IOException if the folder cannot be created
     */
    SimulatorRecorder(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
    }

    @Override
    public void onRouterStarted(long routerId, RoutingSettings settings, long seed) {
        try {
            finish(routerId);
            long start = ++starts;
            OutputStream file = create(fileName(routerId, start));
            file.write(ChunkCodec.fileHeader());
            RecordEntry.Header header =
                    new RecordEntry.Header(
                            RecordWriter.BUILD, "router-" + routerId, start, settings, seed);
            Recorder recorder = new Recorder(header, chunk -> write(file, chunk));
            records.put(routerId, new RouterRecord(recorder, file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String fileName(long routerId, long start) {
        return String.format(
                "router-%03d-%d-%04d%s",
                routerId, ProcessHandle.current().pid(), start, SegmentRetention.FILE_SUFFIX);
    }

    private OutputStream create(String name) throws IOException {
        return new BufferedOutputStream(
                Files.newOutputStream(folder.resolve(name), StandardOpenOption.CREATE_NEW));
    }

    private static boolean write(OutputStream file, byte[] chunk) {
        try {
            file.write(chunk);
            return true;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void onDecision(long routerId, long nowMicros, Event event, List<Action> actions) {
        records.get(routerId).recorder().onDecision(nowMicros, event, actions);
    }

    private void finish(long routerId) throws IOException {
        RouterRecord finished = records.remove(routerId);
        if (finished != null) {
            finished.recorder().flush();
            finished.file().close();
        }
    }

    @Override
    public void close() throws IOException {
        for (long routerId : List.copyOf(records.keySet())) {
            finish(routerId);
        }
    }
}
