package sorrelhoist.protocol.grpc;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import sorrelhoist.protocol.http2.ErrorCode;
import sorrelhoist.protocol.http2.Http2Connection;
import sorrelhoist.protocol.http2.Http2Limits;
import sorrelhoist.protocol.net.ConnectionAttempt;
import sorrelhoist.protocol.net.LoopbackTransport;

/**
 * Connections to one address, opened as calls need them. All of it runs on one event loop; {@link
 * #loop} tells which. A connection counts as open when the peer's HTTP/2 settings have come: a
 * socket that a hanging process still accepts is no connection.
 */
public final class GrpcChannel implements Http2Connection.Listener {
    /**
     * How connections are kept.
     *
     * @param maxConnections open at once
     * @param connectTimeoutMicros until an attempt to connect fails
     * @param idleTimeoutMicros after which a connection without calls is closed
     * @param maxMessageBytes bytes that one message of the server's may have
     * @param limits what the server may cost
     */
    public record Options(
            int maxConnections,
            long connectTimeoutMicros,
            long idleTimeoutMicros,
            int maxMessageBytes,
            Http2Limits limits) {
        /** One connection, for background traffic. */
        public static final Options BACKGROUND =
                new Options(1, 1_000_000, 60_000_000, 4 << 20, Http2Limits.CLIENT);
    }

    private final EventLoop loop;
    private final String address;
    private final Options options;
    private final List<Http2Connection> open = new ArrayList<>();
    private final List<Http2Connection> dialing = new ArrayList<>();
    private final ArrayDeque<ClientCall> queued = new ArrayDeque<>();
    private boolean shutdown;
    private boolean idleWatched;
    private long lastCall;

    /**
     * Makes a channel without connections.
     *
     * @param loop where everything runs
     * @param address 127.0.0.1:PORT
     * @param options how connections are kept
     */
    public GrpcChannel(EventLoop loop, String address, Options options) {
        this.loop = loop;
        this.address = address;
        this.options = options;
        LoopbackTransport.parseAddress(address);
    }

    /** {@return the event loop on which everything here is to be called} */
    public EventLoop loop() {
        return loop;
    }

    /** {@return the address} */
    public String address() {
        return address;
    }

    /** {@return connections now open} */
    public int openConnections() {
        return open.size();
    }

    /** Starts a call: at once, or when a connection is there. */
    public void start(ClientCall call) {
        lastCall = System.nanoTime();
        if (shutdown) {
            call.notSent("the channel is shut");
            return;
        }
        if (!open(call)) {
            queued.add(call);
            dialMore();
        }
    }

    /** {@return a new call with this channel's limit on messages} */
    public ClientCall newCall(
            String path,
            sorrelhoist.protocol.hpack.Headers metadata,
            ClientCall.Listener listener) {
        return new ClientCall(path, metadata, options.maxMessageBytes(), listener);
    }

    private boolean open(ClientCall call) {
        Http2Connection least = null;
        for (Http2Connection c : open) {
            if (c.canOpenStream()
                    && (least == null || c.openStreamCount() < least.openStreamCount())) {
                least = c;
            }
        }
        return least != null && call.open(least, address);
    }

    /** One connection is dialled at a time, and only while calls wait for it. */
    private void dialMore() {
        if (shutdown
                || queued.isEmpty()
                || !dialing.isEmpty()
                || open.size() >= options.maxConnections()) {
            return;
        }
        Http2Connection connection = Http2Connection.client(options.limits(), this);
        dialing.add(connection);
        ConnectionAttempt attempt =
                LoopbackTransport.connect(loop, address, options.connectTimeoutMicros(), connection)
                        .onFailure(
                                why ->
                                        dialFailed(
                                                connection,
                                                "cannot connect to "
                                                        + address
                                                        + ": "
                                                        + why.getMessage()));
        loop.schedule(
                () -> {
                    if (dialing.contains(connection)) {
                        dialFailed(connection, address + " accepted no HTTP/2 connection in time");
                        attempt.close();
                    }
                },
                options.connectTimeoutMicros(),
                TimeUnit.MICROSECONDS);
    }

    private void dialFailed(Http2Connection connection, String why) {
        if (!dialing.remove(connection)) {
            return;
        }
        // Calls may still wait for room on another connection that is open.
        if (open.isEmpty()) {
            List<ClientCall> lost = new ArrayList<>(queued);
            queued.clear();
            lost.forEach(c -> c.notSent(why));
        }
        dialMore();
    }

    @Override
    public void onReady(Http2Connection connection) {
        if (dialing.remove(connection)) {
            open.add(connection);
            drainQueue();
            watchIdle();
        }
    }

    private void drainQueue() {
        queued.removeIf(ClientCall::isClosed);
        while (!queued.isEmpty() && open(queued.peek())) {
            queued.poll();
        }
        dialMore();
    }

    @Override
    public void onStreamClosed(Http2Connection connection) {
        lastCall = System.nanoTime();
        if (!queued.isEmpty()) {
            loop.execute(this::drainQueue);
        }
    }

    @Override
    public void onGoAway(Http2Connection connection) {
        open.remove(connection);
        drainQueue();
    }

    @Override
    public void onClosed(Http2Connection connection, String why) {
        open.remove(connection);
        dialFailed(connection, address + ": " + why);
        if (!queued.isEmpty()) {
            drainQueue();
        }
    }

    private void watchIdle() {
        if (!idleWatched && options.idleTimeoutMicros() > 0) {
            idleWatched = true;
            loop.schedule(
                    () -> {
                        idleWatched = false;
                        if (System.nanoTime() - lastCall
                                >= TimeUnit.MICROSECONDS.toNanos(options.idleTimeoutMicros())) {
                            closeIdle();
                        }
                        if (!open.isEmpty()) {
                            watchIdle();
                        }
                    },
                    options.idleTimeoutMicros(),
                    TimeUnit.MICROSECONDS);
        }
    }

    /** Closes connections that carry no call. */
    public void closeIdle() {
        for (Http2Connection c : new ArrayList<>(open)) {
            if (c.openStreamCount() == 0) {
                open.remove(c);
                c.close(ErrorCode.NO_ERROR, "idle");
            }
        }
    }

    /** Ends all connections and calls. */
    public void shutdown() {
        shutdown = true;
        List<ClientCall> lost = new ArrayList<>(queued);
        queued.clear();
        lost.forEach(c -> c.notSent("the channel is shut"));
        new ArrayList<>(open).forEach(c -> c.close(ErrorCode.NO_ERROR, "shut down"));
        open.clear();
    }
}
