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
import sorrelhoist.routing.Routing.Action;
import sorrelhoist.routing.Routing.Event;
import sorrelhoist.routing.Routing.RoutingSettings;

/**
 * Records what the instances on the simulator's wire decide, a file each, in the form of an edge's
 * record. A simulator may host instances in several processes and start one again in another, so
 * names hold the process.
 */
final class WireRecord implements SimulatorAdapter.DecisionListener, AutoCloseable {
    private final Path folder;
    private final Map<Long, Recorder> recorders = new HashMap<>();
    private final Map<Long, OutputStream> files = new HashMap<>();
    private long starts;

    WireRecord(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
    }

    @Override
    public void onRouterStarted(long router, RoutingSettings settings, long seed) {
        try {
            finish(router);
            long start = ++starts;
            OutputStream file =
                    new BufferedOutputStream(
                            Files.newOutputStream(
                                    folder.resolve(
                                            String.format(
                                                    "router-%03d-%d-%04d%s",
                                                    router,
                                                    ProcessHandle.current().pid(),
                                                    start,
                                                    SegmentRetention.FILE_SUFFIX)),
                                    StandardOpenOption.CREATE_NEW));
            file.write(ChunkCodec.fileHeader());
            files.put(router, file);
            recorders.put(
                    router,
                    new Recorder(
                            new RecordEntry.Header(
                                    RecordWriter.BUILD, "router-" + router, start, settings, seed),
                            chunk -> write(file, chunk)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
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
    public void onDecision(long router, long now, Event event, List<Action> actions) {
        recorders.get(router).onDecision(now, event, actions);
    }

    private void finish(long router) throws IOException {
        if (recorders.containsKey(router)) {
            recorders.remove(router).flush();
            files.remove(router).close();
        }
    }

    @Override
    public void close() throws IOException {
        for (long router : List.copyOf(recorders.keySet())) {
            finish(router);
        }
    }
}
