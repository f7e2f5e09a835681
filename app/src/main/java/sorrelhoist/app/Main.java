package sorrelhoist.app;

import java.io.IOException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import sorrelhoist.app.command.ConfigCommand;
import sorrelhoist.app.command.DemoCommand;
import sorrelhoist.app.command.MeasureCommand;
import sorrelhoist.app.command.PlatformCommand;
import sorrelhoist.app.command.ProgramCommands;
import sorrelhoist.app.command.RecordCommand;
import sorrelhoist.app.command.RequestCommand;
import sorrelhoist.app.command.ScenarioCommand;
import sorrelhoist.app.command.SimulatorAdapterCommand;
import sorrelhoist.app.command.SoakCommand;
import sorrelhoist.app.command.UpCommand;
import sorrelhoist.platform.Platform;

/** The entry point of the command line. */
@Command(
        name = "sorrelhoist",
        mixinStandardHelpOptions = true,
        version = "sorrelhoist 0.2.0",
        description =
                "Routes requests for language models that are read by one pool of engines and"
                        + " answered by another.",
        subcommands = {
            ProgramCommands.EdgeCommand.class,
            ProgramCommands.PlannerCommand.class,
            ProgramCommands.EngineCommand.class,
            ProgramCommands.RegistryCommand.class,
            ConfigCommand.class,
            DemoCommand.class,
            UpCommand.class,
            RequestCommand.class,
            ScenarioCommand.class,
            MeasureCommand.class,
            SoakCommand.class,
            RecordCommand.class,
            SimulatorAdapterCommand.class,
            PlatformCommand.class
        })
public final class Main {
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /**
     * Runs a command and exits with its exit status.
     *
     * @param args the subcommand and its options
     * @throws IOException if the platform's router cannot be started
     */
    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals(PlatformCommand.NAME)) {
            // The platform's machines have a fraction of a core and tens of megabytes of memory, so
            // the classes of the command tree are not loaded there.
            System.exit(Platform.run(System.getenv()));
        }
        CommandLine line = commandLine();
        System.exit(args.length == 0 ? printUsage(line) : line.execute(args));
    }

    /** {@return a new command tree with all subcommands} */
    static CommandLine commandLine() {
        CommandLine line = new CommandLine(new Main());
        addFormerName(line, "ask", new RequestCommand());
        addFormerName(line, "day", new ScenarioCommand());
        addFormerName(line, "wirehost", new SimulatorAdapterCommand());
        line.setExecutionExceptionHandler(
                (exception, command, parsed) -> {
                    System.err.println(command.getCommandName() + ": " + exception.getMessage());
                    return EXIT_FAILURE;
                });
        return line;
    }

    /** Also accepts a command's former name, for one release; the help text does not list it. */
    private static void addFormerName(CommandLine line, String formerName, Object command) {
        CommandLine former = new CommandLine(command);
        former.getCommandSpec().usageMessage().hidden(true);
        line.addSubcommand(formerName, former);
    }

    private static int printUsage(CommandLine line) {
        line.usage(System.err);
        return EXIT_USAGE;
    }
}
