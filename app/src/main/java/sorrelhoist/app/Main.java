package sorrelhoist.app;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sorrelhoist.adapter.SimulatorAdapter;
import sorrelhoist.app.command.ConfigCommand;
import sorrelhoist.app.command.FleetCommands;
import sorrelhoist.app.command.MeasureCommand;
import sorrelhoist.app.command.Programs;
import sorrelhoist.app.command.RecordCommand;
import sorrelhoist.app.command.SoakCommand;
import sorrelhoist.app.command.WireCommand;
import sorrelhoist.platform.Platform;

/** The command line. */
@Command(
        name = "sorrelhoist",
        mixinStandardHelpOptions = true,
        version = "sorrelhoist 0.2.0",
        description =
                "Routes requests for language models that are read by one pool of engines and"
                        + " answered by another.",
        subcommands = {
            Programs.EdgeProgram.class,
            Programs.PlannerProgram.class,
            Programs.EngineProgram.class,
            Programs.RegistryProgram.class,
            ConfigCommand.class,
            FleetCommands.Demo.class,
            FleetCommands.Up.class,
            FleetCommands.AskCommand.class,
            FleetCommands.DayCommand.class,
            MeasureCommand.class,
            SoakCommand.class,
            RecordCommand.class,
            Main.Wirehost.class,
            Main.PlatformProgram.class
        })
public final class Main {
    private Main() {}

    /** The bench's wire. */
    @Command(
            name = "wirehost",
            description = "Serves the simulator's wire on standard input and output.")
    static final class Wirehost implements Callable<Integer> {
        @Option(
                names = "--record",
                paramLabel = "FOLDER",
                description = "records each instance's decisions there")
        Path record;

        @Override
        public Integer call() throws IOException {
            return record == null
                    ? new SimulatorAdapter().run(System.in, System.out, System.err)
                    : WireCommand.recorded(record);
        }
    }

    /** The router on the operators' platform. */
    @Command(
            name = "platform",
            description =
                    "Runs one router on the operators' platform, as LB_CONFIG and its kin tell it.")
    static final class PlatformProgram implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            return Platform.run(System.getenv());
        }
    }

    /**
     * Runs a command and exits with its status.
     *
     * @param args sub-command and options
     */
    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("platform")) {
            // A machine with part of a core and tens of megabytes: nothing of the command tree is
            // loaded there.
            System.exit(Platform.run(System.getenv()));
        }
        CommandLine line = new CommandLine(new Main());
        line.setExecutionExceptionHandler(
                (e, command, parsed) -> {
                    System.err.println(command.getCommandName() + ": " + e.getMessage());
                    return 1;
                });
        System.exit(args.length == 0 ? usage(line) : line.execute(args));
    }

    private static int usage(CommandLine line) {
        line.usage(System.err);
        return 2;
    }
}
