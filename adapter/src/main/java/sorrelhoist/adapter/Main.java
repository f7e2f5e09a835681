package sorrelhoist.adapter;

import java.util.Set;

/** The entry point of the small jar that contains only the adapter. */
public final class Main {
    private static final int EXIT_USAGE = 2;
    private static final String COMMAND = "simulator-adapter";

    /** The command's former name, accepted for one release. */
    private static final String FORMER_COMMAND = "wirehost";

    private static final Set<String> COMMANDS = Set.of(COMMAND, FORMER_COMMAND);

    private Main() {}

    /**
     * Serves the simulator on standard input and output, and exits with the adapter's exit status.
     *
     * @param args exactly one argument, {@code simulator-adapter} or its former name
     */
    public static void main(String[] args) {
        if (args.length != 1 || !COMMANDS.contains(args[0])) {
            System.err.println("usage: java -jar sorrelhoist-adapter-host.jar " + COMMAND);
            System.exit(EXIT_USAGE);
        }
        System.exit(new SimulatorAdapter().run(System.in, System.out, System.err));
    }
}
