package sorrelhoist.app.command;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sorrelhoist.app.LogSpanExporter;
import sorrelhoist.app.config.Config;
import sorrelhoist.app.config.InvalidSettingsException;
import sorrelhoist.edge.Edge;
import sorrelhoist.edge.EdgeSettings;
import sorrelhoist.planner.Planner;
import sorrelhoist.planner.PlannerSettings;
import sorrelhoist.protocol.net.LoopbackTransport;
import sorrelhoist.standin.engine.EngineSettings;
import sorrelhoist.standin.engine.EngineStandIn;
import sorrelhoist.standin.registry.RegistryStandIn;

/**
 * The commands of the server programs, which run until they receive a signal to shut down. Each
 * prints one line when it is ready.
 */
public final class ProgramCommands {
    private ProgramCommands() {}

    private abstract static class ProgramCommand implements Callable<Integer> {
        @Option(
                names = "--config",
                required = true,
                paramLabel = "FILE",
                description = "settings file, in Jsonnet")
        Path config;

        /** Starts the program, waits for a signal to shut down, then stops the program. */
        abstract void run() throws IOException, InvalidSettingsException;

        @Override
        public final Integer call() throws IOException, InvalidSettingsException {
            run();
            return 0;
        }

        final void printReady(String program, int port) {
            System.out.println("ready " + program + "=" + LoopbackTransport.LOOPBACK + ":" + port);
            System.out.flush();
        }
    }

    /** Runs an edge. */
    @Command(
            name = "edge",
            description = "Serves clients: keeps their streams and routes their requests.")
    public static final class EdgeCommand extends ProgramCommand {
        @Override
        void run() throws IOException, InvalidSettingsException {
            EdgeSettings settings = Config.edge(config);
            ShutdownSignal shutdown = new ShutdownSignal();
            Edge edge =
                    new Edge(settings, LogSpanExporter.telemetry(settings.traceShare())).start();
            printReady("edge", edge.port());
            shutdown.await();
            edge.drain(shutdown::isHurried);
        }
    }

    /** Runs a planner. */
    @Command(
            name = "planner",
            description = "Reads the registry and sends routing information to the edges.")
    public static final class PlannerCommand extends ProgramCommand {
        @Override
        void run() throws IOException, InvalidSettingsException {
            PlannerSettings settings = Config.planner(config);
            ShutdownSignal shutdown = new ShutdownSignal();
            Planner planner = new Planner(settings).start();
            printReady("planner", planner.port());
            shutdown.await();
            planner.stop();
        }
    }

    /** Runs a stand-in engine. */
    @Command(
            name = "engine",
            description = "A stand-in for an engine: reads prompts or writes answers.")
    public static final class EngineCommand extends ProgramCommand {
        @Override
        void run() throws IOException, InvalidSettingsException {
            EngineSettings settings = Config.engine(config);
            ShutdownSignal shutdown = new ShutdownSignal();
            EventLoopGroup loops = LoopbackTransport.newEventLoops(1, "engine");
            EngineStandIn engine = new EngineStandIn(settings, loops).start();
            printReady("engine", engine.port());
            shutdown.await();
            engine.kill();
        }
    }

    /** Runs a stand-in registry. */
    @Command(name = "registry", description = "A stand-in for a Eureka registry.")
    public static final class RegistryCommand extends ProgramCommand {
        @Override
        void run() throws IOException, InvalidSettingsException {
            RegistryStandIn.Settings settings = Config.registry(config);
            ShutdownSignal shutdown = new ShutdownSignal();
            EventLoopGroup loops = LoopbackTransport.newEventLoops(1, "registry");
            RegistryStandIn registry = new RegistryStandIn(settings, loops).start();
            printReady("registry", registry.port());
            shutdown.await();
            registry.stop();
        }
    }
}
