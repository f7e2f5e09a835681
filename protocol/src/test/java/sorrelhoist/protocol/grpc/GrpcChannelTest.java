package sorrelhoist.protocol.grpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.http2.ErrorCode;
import sorrelhoist.protocol.http2.Http2Connection;
import sorrelhoist.protocol.http2.Http2Limits;
import sorrelhoist.protocol.net.LoopbackTransport;

/**
 * Tests the connections of a channel over real sockets: they are opened as needed up to a maximum
 * and closed when idle, and the way in which they end determines the termination of their calls.
 */
class GrpcChannelTest {
    private static final String PATH = "/s/m";
    private final EventLoopGroup loops = LoopbackTransport.newEventLoops(1, "channel-test");
    private final Set<Http2Connection> accepted = ConcurrentHashMap.newKeySet();
    private final List<ServerCall> openCalls = new ArrayList<>();
    private Channel listener;
    private Http2Limits limits = Http2Limits.SERVER;

    private GrpcChannel channel(int streams, int connections, long idleMicros) throws Exception {
        GrpcServer server =
                new GrpcServer(1000)
                        .addUnaryMethod(
                                PATH,
                                (call, message) -> {
                                    if (message.length > 0) {
                                        openCalls.add(call);
                                    } else {
                                        call.send(message);
                                        call.close(Status.OK, null);
                                    }
                                });
        listener =
                LoopbackTransport.listen(
                        loops,
                        0,
                        () ->
                                Http2Connection.server(
                                        limits.withMaxStreams(streams),
                                        server,
                                        new Http2Connection.Listener() {
                                            @Override
                                            public void onReady(Http2Connection c) {
                                                accepted.add(c);
                                            }

                                            @Override
                                            public void onClosed(Http2Connection c, String why) {
                                                accepted.remove(c);
                                            }
                                        }));
        return new GrpcChannel(
                loops.next(),
                LoopbackTransport.LOOPBACK + ":" + LoopbackTransport.localPort(listener),
                new GrpcChannel.Options(
                        connections, 200_000, idleMicros, 1000, Http2Limits.CLIENT));
    }

    @AfterEach
    void stop() {
        listener.close();
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    @Test
    void busyClientIsNotTreatedAsAFlood() throws Exception {
        limits = limits.withFrameCostLimits(1, 60);
        GrpcChannel channel = channel(100, 1, 0);
        for (int i = 0; i < 400; i++) {
            assertEquals(
                    ClientCall.Termination.STATUS,
                    start(channel, 0).get(5, TimeUnit.SECONDS),
                    "call " + i);
        }
        assertEquals(1, accepted.size());
    }

    private CompletableFuture<ClientCall.Termination> start(GrpcChannel channel, int size) {
        CompletableFuture<ClientCall.Termination> end = new CompletableFuture<>();
        ClientCall call =
                channel.newCall(
                        PATH,
                        null,
                        new ClientCall.Listener() {
                            @Override
                            public void onMessage(ClientCall c, byte[] message, int wireBytes) {
                                c.consumeBytes(wireBytes);
                            }

                            @Override
                            public void onClose(
                                    ClientCall c,
                                    Status status,
                                    Headers trailers,
                                    ClientCall.Termination how) {
                                end.complete(how);
                            }
                        });
        call.sendLast(new byte[size]);
        channel.loop().execute(() -> channel.start(call));
        return end;
    }

    private static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end);
            Thread.onSpinWait();
        }
    }

    private int openCallCount() {
        return CompletableFuture.supplyAsync(openCalls::size, loops.next()).join();
    }

    @Test
    void connectionsAreOpenedWhenStreamsRunOutUpToTheMaximum() throws Exception {
        GrpcChannel channel = channel(2, 3, 0);
        List<CompletableFuture<ClientCall.Termination>> all = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            all.add(start(channel, 1));
        }
        await(() -> openCallCount() == 6);
        assertEquals(3, accepted.size());
        loops.next().execute(() -> List.copyOf(openCalls).forEach(c -> c.close(Status.OK, null)));
        await(() -> openCallCount() == 8);
        loops.next().execute(() -> List.copyOf(openCalls).forEach(c -> c.close(Status.OK, null)));
        for (var end : all) {
            assertEquals(ClientCall.Termination.STATUS, end.get(5, TimeUnit.SECONDS));
        }
    }

    @Test
    void idleConnectionsAreClosedAndOpenedAgain() throws Exception {
        GrpcChannel channel = channel(10, 2, 50_000);
        assertEquals(ClientCall.Termination.STATUS, start(channel, 0).get(5, TimeUnit.SECONDS));
        await(accepted::isEmpty);
        assertEquals(ClientCall.Termination.STATUS, start(channel, 0).get(5, TimeUnit.SECONDS));
    }

    @Test
    void drainingPeerFinishesOpenCallsAndGetsNoNewOnes() throws Exception {
        GrpcChannel channel = channel(10, 2, 0);
        var running = start(channel, 1);
        await(() -> openCallCount() == 1);
        Http2Connection first = accepted.iterator().next();
        loops.next().execute(first::shutdownGracefully);
        await(
                () ->
                        CompletableFuture.supplyAsync(channel::openConnections, loops.next()).join()
                                == 0);
        assertEquals(ClientCall.Termination.STATUS, start(channel, 0).get(5, TimeUnit.SECONDS));
        loops.next().execute(() -> openCalls.get(0).close(Status.OK, null));
        assertEquals(ClientCall.Termination.STATUS, running.get(5, TimeUnit.SECONDS));
        await(() -> !accepted.contains(first));
    }

    @Test
    void callOnBrokenConnectionIsReportedAsBroken() throws Exception {
        GrpcChannel channel = channel(10, 2, 0);
        var running = start(channel, 1);
        await(() -> openCallCount() == 1);
        loops.next()
                .execute(() -> accepted.iterator().next().close(ErrorCode.INTERNAL_ERROR, "test"));
        assertEquals(ClientCall.Termination.BROKEN, running.get(5, TimeUnit.SECONDS));
    }

    @Test
    void socketWithoutHttp2IsNotCountedAsConnection() throws Exception {
        listener = LoopbackTransport.listen(loops, 0, ChannelInboundHandlerAdapter::new);
        GrpcChannel channel =
                new GrpcChannel(
                        loops.next(),
                        LoopbackTransport.LOOPBACK + ":" + LoopbackTransport.localPort(listener),
                        new GrpcChannel.Options(2, 100_000, 0, 1000, Http2Limits.CLIENT));
        assertEquals(ClientCall.Termination.NOT_SENT, start(channel, 1).get(5, TimeUnit.SECONDS));
        listener.close().sync();
        assertEquals(ClientCall.Termination.NOT_SENT, start(channel, 1).get(5, TimeUnit.SECONDS));
    }
}
