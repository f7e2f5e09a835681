package sorrelhoist.lab.fleet;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Consumer;
import sorrelhoist.lab.load.ClientTraceWriter;
import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.grpc.GrpcChannel;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.http1.HttpClient;
import sorrelhoist.protocol.http1.HttpMessage;
import sorrelhoist.protocol.protobuf.ProtoWriter;

/** Kills processes of a fleet and sends control commands to its stand-ins. */
final class FaultController {
    private static final String ENGINE_CONTROL_METHOD = "/sorrelhoist.standin.v1.Control/Do";
    private static final int LINE_FIELD = 1;
    private static final long REGISTRY_TIMEOUT_MICROS = 1_000_000;
    private final ProcessFleet fleet;
    private final ClientTraceWriter trace;
    private final Consumer<String> output;

    /**
     * Creates a controller.
     *
     * @param fleet whose processes
     * @param trace takes kills, for the judge
     * @param output takes a line for people when a command does not arrive
     */
    FaultController(ProcessFleet fleet, ClientTraceWriter trace, Consumer<String> output) {
        this.fleet = fleet;
        this.trace = trace;
        this.output = output;
    }

    void kill(String process) {
        trace.write("killed", "target", process);
        fleet.kill(process);
    }

    void commandEngine(String engine, String command) {
        GrpcChannel channel =
                new GrpcChannel(
                        fleet.loops().next(),
                        fleet.address(engine),
                        GrpcChannel.Options.BACKGROUND);
        ClientCall call =
                channel.newCall(
                        ENGINE_CONTROL_METHOD, null, new CommandListener(channel, engine, command));
        call.sendLast(new ProtoWriter().writeString(LINE_FIELD, command).toByteArray());
        channel.loop().execute(() -> channel.start(call));
    }

    void commandRegistry(String command) {
        String target = "/control?do=" + URLEncoder.encode(command, StandardCharsets.UTF_8);
        new HttpClient(fleet.loops().next(), fleet.address("registry"))
                .send(
                        HttpMessage.request("POST", target, Map.of(), new byte[0]),
                        REGISTRY_TIMEOUT_MICROS);
    }

    private final class CommandListener implements ClientCall.Listener {
        private final GrpcChannel channel;
        private final String engine;
        private final String command;

        CommandListener(GrpcChannel channel, String engine, String command) {
            this.channel = channel;
            this.engine = engine;
            this.command = command;
        }

        @Override
        public void onMessage(ClientCall call, byte[] message, int wireBytes) {
            call.consumeBytes(wireBytes);
        }

        @Override
        public void onClose(
                ClientCall call,
                Status status,
                Headers trailers,
                ClientCall.Termination termination) {
            if (termination != ClientCall.Termination.STATUS || !status.isOk()) {
                output.accept(engine + " was not told \"" + command + "\": " + status.message());
            }
            channel.shutdown();
        }
    }
}
