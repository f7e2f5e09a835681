package sorrelhoist.standin.engine;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import sorrelhoist.protocol.engine.DecodeRequest;
import sorrelhoist.protocol.engine.EngineApi;
import sorrelhoist.protocol.engine.FetchReply;
import sorrelhoist.protocol.engine.FetchRequest;
import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.grpc.GrpcChannel;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.protobuf.ProtoException;

/**
 * Fetches prefill states from the engines that hold them. The transfer takes a time that follows
 * from the size of the state and from whether that engine is in the same rack.
 */
final class RemoteStateFetcher {
    private final EngineSettings settings;
    private final EventLoop loop;
    private final Map<String, GrpcChannel> channels = new HashMap<>();

    /** Takes the result of a fetch. */
    interface Callback {
        /** {@return whether the result is still of use} */
        boolean isWanted();

        /** The state has arrived. */
        void fetched(long digest);

        /** The state cannot be had. */
        void failed(String message);
    }

    RemoteStateFetcher(EngineSettings settings, EventLoop loop) {
        this.settings = settings;
        this.loop = loop;
    }

    void fetch(DecodeRequest request, Callback callback) {
        GrpcChannel channel =
                channels.computeIfAbsent(
                        request.stateAddress(),
                        address -> new GrpcChannel(loop, address, GrpcChannel.Options.BACKGROUND));
        ClientCall call = channel.newCall(EngineApi.FETCH, null, new FetchCall(callback));
        call.sendLast(new FetchRequest(request.stateId(), settings.id()).toByteArray());
        channel.start(call);
    }

    void close() {
        channels.values().forEach(GrpcChannel::shutdown);
    }

    private long transferMicros(FetchReply reply) {
        boolean sameRack = reply.rack().equals(settings.rackPath());
        double tokensPerSecond =
                sameRack ? settings.moveTokensPerSecond() : settings.farTokensPerSecond();
        return (long) (reply.promptTokens() / tokensPerSecond * 1e6);
    }

    private final class FetchCall implements ClientCall.Listener {
        private final Callback callback;
        private FetchReply reply;

        FetchCall(Callback callback) {
            this.callback = callback;
        }

        @Override
        public void onMessage(ClientCall call, byte[] message, int wireBytes) {
            call.consumeBytes(wireBytes);
            try {
                reply = FetchReply.parse(message);
            } catch (ProtoException e) {
                call.cancel();
            }
        }

        @Override
        public void onClose(
                ClientCall call,
                Status status,
                Headers trailers,
                ClientCall.Termination termination) {
            if (!callback.isWanted()) {
                return;
            }
            if (!status.isOk() || reply == null) {
                callback.failed(status.message());
                return;
            }
            loop.schedule(
                    () -> callback.fetched(reply.digest()),
                    transferMicros(reply),
                    TimeUnit.MICROSECONDS);
        }
    }
}
