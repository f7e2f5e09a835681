package sorrelhoist.protocol.grpc;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import sorrelhoist.protocol.http2.ErrorCode;
import sorrelhoist.protocol.http2.Http2Connection;
import sorrelhoist.protocol.http2.Http2Limits;
import sorrelhoist.protocol.net.Connecting;
import sorrelhoist.protocol.net.Net;

/**
 * Connections to one address, opened as calls need them. All of it runs on one event loop; {@link
 * #loop} tells which. A connection counts as open when the peer's HTTP/2 settings have come: a
 * socket that a hanging process still accepts is no connection.
 */
public final class GrpcChannel implements Http2Connection.Watcher {
    /**
     * How connections are kept.
     *
     * @param maxConnections open at once
     * @param dialMicros until an attempt to connect fails
     * @param idleMicros after which a connection without calls is closed
     * @param maxMessage bytes that one message of the server's may have
     * @param limits what the server may cost
     */
    public record Options(
            int maxConnections,
            long dialMicros,
            long idleMicros,
            int maxMessage,
            Http2Limits limits) {
        /** One connection, for background traffic. */
        public static final Options PLAIN =
                new Options(1, 1_000_000, 60_000_000, 4 << 20, Http2Limits.CLIENT);
    }

    private final EventLoop loop;
    private final String address;
    private final Options options;
    private final List<Http2Connection> open = new ArrayList<>();
    private final List<Http2Connection> dialing = new ArrayList<>();
    private final ArrayDeque<ClientCall> queued = new ArrayDeque<>();
    private boolean shut;
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
        Net.parse(address);
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
    public int connections() {
        return open.size();
    }

    /** Starts a call: at once, or when a connection is there. */
    public void start(ClientCall call) {
        lastCall = System.nanoTime();
        if (shut) {
            call.notSent("the channel is shut");
            return;
        }
        if (!open(call)) {
            queued.add(call);
            dialMore();
        }
    }

    /** {@return a new call with this channel's limit on messages} */
    public ClientCall call(
            String path,
            sorrelhoist.protocol.hpack.Headers metadata,
            ClientCall.Listener listener) {
        return new ClientCall(path, metadata, options.maxMessage(), listener);
    }

    private boolean open(ClientCall call) {
        Http2Connection least = null;
        for (Http2Connection c : open) {
            if (c.canOpen() && (least == null || c.openStreams() < least.openStreams())) {
                least = c;
            }
        }
        return least != null && call.open(least, address);
    }

    /** One connection is dialled at a time, and only while calls wait for it. */
    private void dialMore() {
        if (shut
                || queued.isEmpty()
                || !dialing.isEmpty()
                || open.size() >= options.maxConnections()) {
            return;
        }
        Http2Connection connection = Http2Connection.client(options.limits(), this);
        dialing.add(connection);
        Connecting attempt =
                Net.connect(loop, address, options.dialMicros(), connection)
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
                options.dialMicros(),
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
    public void ready(Http2Connection connection) {
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
    public void streamEnded(Http2Connection connection) {
        lastCall = System.nanoTime();
        if (!queued.isEmpty()) {
            loop.execute(this::drainQueue);
        }
    }

    @Override
    public void draining(Http2Connection connection) {
        open.remove(connection);
        drainQueue();
    }

    @Override
    public void closed(Http2Connection connection, String why) {
        open.remove(connection);
        dialFailed(connection, address + ": " + why);
        if (!queued.isEmpty()) {
            drainQueue();
        }
    }

    private void watchIdle() {
        if (!idleWatched && options.idleMicros() > 0) {
            idleWatched = true;
            loop.schedule(
                    () -> {
                        idleWatched = false;
                        if (System.nanoTime() - lastCall
                                >= TimeUnit.MICROSECONDS.toNanos(options.idleMicros())) {
                            closeIdle();
                        }
                        if (!open.isEmpty()) {
                            watchIdle();
                        }
                    },
                    options.idleMicros(),
                    TimeUnit.MICROSECONDS);
        }
    }

    /** Closes connections that carry no call. */
    public void closeIdle() {
        for (Http2Connection c : new ArrayList<>(open)) {
            if (c.openStreams() == 0) {
                open.remove(c);
                c.close(ErrorCode.NO_ERROR, "idle");
            }
        }
    }

    /** Ends all connections and calls. */
    public void shut() {
        shut = true;
        List<ClientCall> lost = new ArrayList<>(queued);
        queued.clear();
        lost.forEach(c -> c.notSent("the channel is shut"));
        new ArrayList<>(open).forEach(c -> c.close(ErrorCode.NO_ERROR, "shut down"));
        open.clear();
    }
}
