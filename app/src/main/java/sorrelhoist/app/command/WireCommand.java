package sorrelhoist.app.command;

import java.io.IOException;
import java.nio.file.Path;
import sorrelhoist.adapter.SimulatorAdapter;

/** The simulator's wire on standard input and output, recorded. */
public final class WireCommand {
    private WireCommand() {}

    /**
     * Serves until the input ends.
     *
     * @param folder for a record of each instance
     * @return the exit status
     */
    public static int recorded(Path folder) throws IOException {
        try (WireRecord record = new WireRecord(folder)) {
            return new SimulatorAdapter(record).run(System.in, System.out, System.err);
        }
    }
}
