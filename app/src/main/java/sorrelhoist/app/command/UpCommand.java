package sorrelhoist.app.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sorrelhoist.lab.fleet.ProcessFleet;

/** Starts the demo's fleet and keeps it running until a signal to shut down. */
@Command(name = "up", description = "Starts the demo's fleet; runs it until SIGTERM.")
public final class UpCommand implements Callable<Integer> {
    private static final int MAX_PORT_BASE = 65_000;
    private static final int EXIT_USAGE = 2;

    @Option(
            names = "--port-base",
            paramLabel = "N",
            defaultValue = "0",
            description = "first port: edges, then planner and registry (default: any free ports)")
    int portBase;

    @Override
    public Integer call() throws IOException {
        if (portBase < 0 || portBase > MAX_PORT_BASE) {
            System.err.println("--port-base: give 1 to " + MAX_PORT_BASE + ", or omit it");
            return EXIT_USAGE;
        }
        ShutdownSignal shutdown = new ShutdownSignal();
        Path folder = LocalFleets.newFolder("up");
        try (ProcessFleet fleet =
                new ProcessFleet(
                        LocalFleets.builtInScenario(),
                        folder,
                        LocalFleets.programCommand(),
                        portBase,
                        Map.of())) {
            fleet.start();
            System.out.println(fleet.readyLine());
            System.out.flush();
            shutdown.await();
        }
        return 0;
    }
}
