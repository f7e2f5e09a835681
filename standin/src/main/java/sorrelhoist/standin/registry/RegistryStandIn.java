package sorrelhoist.standin.registry;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import javax.xml.stream.XMLStreamException;
import sorrelhoist.protocol.http1.HttpMessage;
import sorrelhoist.protocol.http1.HttpServerHandler;
import sorrelhoist.protocol.net.LoopbackTransport;
import sorrelhoist.standin.TraceWriter;

/**
 * A stand-in for a Eureka registry: the REST operations as Netflix publishes them, in JSON and XML,
 * with leases that expire and deltas with their hash code; and a control path by which it is made
 * to lag, hang, fail or list nothing. Everything runs on one event loop.
 */
public final class RegistryStandIn {
    private static final String CONTROL_PATH = "/control";

    /**
     * Its configuration. The components' names are keys of its settings file.
     *
     * @param port port to listen on; 0 for one that the system picks
     * @param evictMicros microseconds between checks for expired leases
     * @param deltaMicros microseconds for which a change stays in deltas
     * @param trace file for its trace; empty for none
     */
    public record Settings(int port, long evictMicros, long deltaMicros, String trace) {}

    private final Settings settings;
    private final EventLoopGroup loops;
    private final EventLoop loop;
    private final LeaseTable leases;
    private final RegistryFaults faults;
    private final EurekaRequestHandler requestHandler;
    private Channel listener;

    /**
     * Creates a registry; {@link #start} starts it.
     *
     * @param settings its configuration
     * @param loops event loops, of which it uses one
     * @throws IOException if the trace file cannot be opened
     */
    public RegistryStandIn(Settings settings, EventLoopGroup loops) throws IOException {
        this.settings = settings;
        this.loops = loops;
        this.loop = loops.next();
        Path traceFile = settings.trace().isEmpty() ? null : Path.of(settings.trace());
        RegistryTrace trace = new RegistryTrace(new TraceWriter(traceFile, "registry"));
        leases = new LeaseTable(settings.deltaMicros(), trace);
        faults = new RegistryFaults(trace);
        requestHandler = new EurekaRequestHandler(leases, faults, trace);
    }

    /**
     * Starts to listen.
     *
     * @return this registry
     * @throws IOException if the port cannot be bound
     */
    public RegistryStandIn start() throws IOException {
        listener =
                LoopbackTransport.listen(
                        loops,
                        settings.port(),
                        () ->
                                new HttpServerHandler(
                                        (request, answer) ->
                                                loop.execute(() -> handle(request, answer))));
        loop.scheduleAtFixedRate(
                this::evictExpired,
                settings.evictMicros(),
                settings.evictMicros(),
                TimeUnit.MICROSECONDS);
        return this;
    }

    /** {@return the port it listens on} */
    public int port() {
        return LoopbackTransport.localPort(listener);
    }

    /** Stops listening. */
    public void stop() {
        listener.close();
    }

    private void handle(HttpMessage request, Consumer<HttpMessage> answer) {
        long now = TraceWriter.nowMicros();
        if (request.path().equals(CONTROL_PATH)) {
            answer.accept(faults.execute(request.queryParameter("do"), now));
        } else if (faults.isHanging(now)) {
            loop.schedule(
                    () -> handle(request, answer),
                    faults.hangUntilMicros() - now,
                    TimeUnit.MICROSECONDS);
        } else if (faults.isFailing(now)) {
            answer.accept(HttpMessage.response(503, "text/plain", "told to fail\n"));
        } else {
            answer.accept(respond(request, now));
        }
    }

    private HttpMessage respond(HttpMessage request, long now) {
        try {
            return requestHandler.handle(request, now);
        } catch (JsonProcessingException | XMLStreamException | IllegalArgumentException e) {
            return HttpMessage.response(
                    400, "text/plain", "cannot be read: " + e.getMessage() + "\n");
        }
    }

    private void evictExpired() {
        long now = TraceWriter.nowMicros();
        if (!faults.isHanging(now)) {
            leases.evictExpired(now);
        }
    }
}
