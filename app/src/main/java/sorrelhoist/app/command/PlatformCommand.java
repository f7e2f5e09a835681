package sorrelhoist.app.command;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import sorrelhoist.platform.Platform;

/** Runs one router on the operators' platform. */
@Command(
        name = PlatformCommand.NAME,
        description =
                "Runs one router on the operators' platform; LB_CONFIG names its settings file.")
public final class PlatformCommand implements Callable<Integer> {
    /** The command's name on the command line. */
    public static final String NAME = "platform";

    @Override
    public Integer call() throws IOException {
        return Platform.run(System.getenv());
    }
}
