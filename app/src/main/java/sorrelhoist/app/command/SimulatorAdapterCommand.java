package sorrelhoist.app.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sorrelhoist.adapter.SimulatorAdapter;

/** Serves the simulator's line protocol on standard input and output. */
@Command(
        name = "simulator-adapter",
        description = "Serves the simulator's line protocol on standard input and output.")
public final class SimulatorAdapterCommand implements Callable<Integer> {
    @Option(
            names = "--record",
            paramLabel = "FOLDER",
            description = "folder for records of each instance's decisions")
    Path folder;

    @Override
    public Integer call() throws IOException {
        if (folder == null) {
            return new SimulatorAdapter().run(System.in, System.out, System.err);
        }
        try (SimulatorRecorder recorder = new SimulatorRecorder(folder)) {
            return new SimulatorAdapter(recorder).run(System.in, System.out, System.err);
        }
    }
}
