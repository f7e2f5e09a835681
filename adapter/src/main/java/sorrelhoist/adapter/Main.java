package sorrelhoist.adapter;

/** Command line entry: {@code wirehost} serves the wire protocol on standard input and output. */
public final class Main {
    private static final int USAGE = 2;

    private Main() {}

    /**
     * Runs the named subcommand and exits with its status.
     *
     * @param args exactly one word, {@code wirehost}
     */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.err.println("usage: java -jar sorrelhoist-adapter-host.jar wirehost");
            System.exit(USAGE);
        }
        System.exit(new SimulatorAdapter().run(System.in, System.out, System.err));
    }
}
