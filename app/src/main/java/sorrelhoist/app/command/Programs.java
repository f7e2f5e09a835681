package sorrelhoist.app.command;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sorrelhoist.app.Spans;
import sorrelhoist.app.config.Config;
import sorrelhoist.edge.Edge;
import sorrelhoist.edge.EdgeSettings;
import sorrelhoist.planner.Planner;
import sorrelhoist.protocol.net.LoopbackTransport;
import sorrelhoist.standin.engine.EngineStandIn;
import sorrelhoist.standin.registry.RegistryStandIn;

/** The programs that serve until they are told to end. Each prints one line when it is ready. */
public final class Programs {
    private Programs() {}

    private abstract static class Program implements Callable<Integer> {
        @Option(
                names = "--config",
                required = true,
                paramLabel = "FILE",
                description = "its settings, in Jsonnet")
        Path config;

        void ready(String what, int port) {
            System.out.println("ready " + what + "=" + LoopbackTransport.LOOPBACK + ":" + port);
            System.out.flush();
        }
    }

    /** An edge. */
    @Command(
            name = "edge",
            description = "Serves clients: holds their streams and routes their requests.")
    public static final class EdgeProgram extends Program {
        @Override
        public Integer call() throws IOException, Config.Faulty {
            EdgeSettings settings = Config.edge(config);
            Lifetime life = new Lifetime();
            Edge edge = new Edge(settings, Spans.of(settings.traceShare())).start();
            ready("edge", edge.port());
            life.await();
            edge.drain(life::hurried);
            return 0;
        }
    }

    /** A planner. */
    @Command(
            name = "planner",
            description = "Reads the registry, and tells the edges what they need to know.")
    public static final class PlannerProgram extends Program {
        @Override
        public Integer call() throws IOException, Config.Faulty {
            var settings = Config.planner(config);
            Lifetime life = new Lifetime();
            Planner planner = new Planner(settings).start();
            ready("planner", planner.port());
            life.await();
            planner.stop();
            return 0;
        }
    }

    /** A stand-in engine. */
    @Command(
            name = "engine",
            description = "A stand-in for an engine: reads prompts or writes answers.")
    public static final class EngineProgram extends Program {
        @Override
        public Integer call() throws IOException, Config.Faulty {
            var settings = Config.engine(config);
            Lifetime life = new Lifetime();
            EventLoopGroup loops = LoopbackTransport.newEventLoops(1, "engine");
            EngineStandIn engine = new EngineStandIn(settings, loops).start();
            ready("engine", engine.port());
            life.await();
            engine.kill();
            return 0;
        }
    }

    /** A stand-in registry. */
    @Command(name = "registry", description = "A stand-in for a Eureka registry.")
    public static final class RegistryProgram extends Program {
        @Override
        public Integer call() throws IOException, Config.Faulty {
            var settings = Config.registry(config);
            Lifetime life = new Lifetime();
            RegistryStandIn registry =
                    new RegistryStandIn(settings, LoopbackTransport.newEventLoops(1, "registry"))
                            .start();
            ready("registry", registry.port());
            life.await();
            registry.stop();
            return 0;
        }
    }
}
