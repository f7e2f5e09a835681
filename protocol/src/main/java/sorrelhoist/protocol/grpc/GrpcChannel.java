package sorrelhoist.protocol.grpc;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.http2.ErrorCode;
import sorrelhoist.protocol.http2.Http2Connection;
import sorrelhoist.protocol.http2.Http2Limits;
import sorrelhoist.protocol.net.ConnectionAttempt;
import sorrelhoist.protocol.net.LoopbackTransport;

/**
 * Manages the connections to one address and opens them as calls need them. All methods must be
 * called on one event loop, {@link #loop}. A connection counts as open only after the peer's HTTP/2
 * SETTINGS have arrived, because the operating system still accepts sockets for a process that
 * hangs.
 */
public final class GrpcChannel implements Http2Connection.Listener {
    /**
     * Limits and timeouts of connections.
     *
     * @param maxConnections maximum number of connections open at once
     * @param connectTimeoutMicros time after which a connection attempt fails, in microseconds; it
     *     applies to the TCP connection and to the arrival of the peer's SETTINGS
     * @param idleTimeoutMicros time without calls after which connections are closed, in
     *     microseconds; 0 keeps them open
     * @param maxMessageBytes maximum size of one message from the server, in bytes
     * @param limits HTTP/2 limits that the server's side of a connection has to keep
     */
    public record Options(
            int maxConnections,
            long connectTimeoutMicros,
            long idleTimeoutMicros,
            int maxMessageBytes,
            Http2Limits limits) {
        /** Options for background traffic: one connection. */
        public static final Options BACKGROUND =
                new Options(1, 1_000_000, 60_000_000, 4 << 20, Http2Limits.CLIENT);
    }

    private final EventLoop loop;
    private final String address;
    private final Options options;
    private final List<Http2Connection> open = new ArrayList<>();
    private final List<Http2Connection> connecting = new ArrayList<>();
    private final ArrayDeque<ClientCall> pendingCalls = new ArrayDeque<>();
    private boolean shutdown;
    private boolean idleCheckScheduled;
    private long lastCallNanos;

    /**
     * Creates a channel without connections.
     *
     * @param loop event loop that runs the channel, its connections and its calls
     * @param address the server's address, 127.0.0.1:PORT
     * @param options limits and timeouts of connections
     */
    public GrpcChannel(EventLoop loop, String address, Options options) {
        this.loop = loop;
        this.address = address;
        this.options = options;
        LoopbackTransport.parseAddress(address);
    }

    /** {@return the event loop on which all methods must be called} */
    public EventLoop loop() {
        return loop;
    }

    /** {@return the server's address} */
    public String address() {
        return address;
    }

    /** {@return the number of open connections} */
    public int openConnections() {
        return open.size();
    }

    /** Starts a call, or queues it until a connection has a free stream. */
    public void start(ClientCall call) {
        lastCallNanos = System.nanoTime();
        if (shutdown) {
            call.notSent("the channel is shut");
            return;
        }
        if (!open(call)) {
            pendingCalls.add(call);
            connectIfNeeded();
        }
    }

    /** {@return a new call with this channel's message size limit} */
    public ClientCall newCall(String path, Headers metadata, ClientCall.Listener listener) {
        return new ClientCall(path, metadata, options.maxMessageBytes(), listener);
    }

    /**
     * Starts a call on the open connection with the fewest streams. {@return whether a connection
     * had a free stream}
     */
    private boolean open(ClientCall call) {
        Http2Connection leastLoaded = null;
        for (Http2Connection connection : open) {
            if (connection.canOpenStream()
                    && (leastLoaded == null
                            || connection.openStreamCount() < leastLoaded.openStreamCount())) {
                leastLoaded = connection;
            }
        }
        return leastLoaded != null && call.open(leastLoaded, address);
    }

    /**
     * Opens a connection if calls are queued. Only one connection is being established at a time.
     */
    private void connectIfNeeded() {
        boolean needed = !shutdown && !pendingCalls.isEmpty() && connecting.isEmpty();
        if (!needed || open.size() >= options.maxConnections()) {
            return;
        }
        Http2Connection connection = Http2Connection.client(options.limits(), this);
        connecting.add(connection);
        ConnectionAttempt attempt =
                LoopbackTransport.connect(
                        loop, address, options.connectTimeoutMicros(), connection);
        attempt.onFailure(
                cause ->
                        connectionFailed(
                                connection,
                                "cannot connect to " + address + ": " + cause.getMessage()));
        loop.schedule(
                () -> checkReady(connection, attempt),
                options.connectTimeoutMicros(),
                TimeUnit.MICROSECONDS);
    }

    /**
     * Fails a connection whose SETTINGS have not arrived in time: the operating system may accept a
     * socket for a process that hangs.
     */
    private void checkReady(Http2Connection connection, ConnectionAttempt attempt) {
        if (connecting.contains(connection)) {
            connectionFailed(connection, address + " accepted no HTTP/2 connection in time");
            attempt.close();
        }
    }

    private void connectionFailed(Http2Connection connection, String reason) {
        if (!connecting.remove(connection)) {
            return;
        }
        // While another connection is open, queued calls can still get a stream on it.
        if (open.isEmpty()) {
            failPendingCalls(reason);
        }
        connectIfNeeded();
    }

    private void failPendingCalls(String reason) {
        List<ClientCall> failed = new ArrayList<>(pendingCalls);
        pendingCalls.clear();
        failed.forEach(call -> call.notSent(reason));
    }

    @Override
    public void onReady(Http2Connection connection) {
        if (connecting.remove(connection)) {
            open.add(connection);
            startPendingCalls();
            scheduleIdleCheck();
        }
    }

    private void startPendingCalls() {
        pendingCalls.removeIf(ClientCall::isClosed);
        while (!pendingCalls.isEmpty() && open(pendingCalls.peek())) {
            pendingCalls.poll();
        }
        connectIfNeeded();
    }

    @Override
    public void onStreamClosed(Http2Connection connection) {
        lastCallNanos = System.nanoTime();
        if (!pendingCalls.isEmpty()) {
            loop.execute(this::startPendingCalls);
        }
    }

    @Override
    public void onGoAway(Http2Connection connection) {
        open.remove(connection);
        startPendingCalls();
    }

    @Override
    public void onClosed(Http2Connection connection, String reason) {
        open.remove(connection);
        connectionFailed(connection, address + ": " + reason);
        if (!pendingCalls.isEmpty()) {
            startPendingCalls();
        }
    }

    private void scheduleIdleCheck() {
        if (!idleCheckScheduled && options.idleTimeoutMicros() > 0) {
            idleCheckScheduled = true;
            loop.schedule(this::checkIdle, options.idleTimeoutMicros(), TimeUnit.MICROSECONDS);
        }
    }

    private void checkIdle() {
        idleCheckScheduled = false;
        long idleNanos = System.nanoTime() - lastCallNanos;
        if (idleNanos >= TimeUnit.MICROSECONDS.toNanos(options.idleTimeoutMicros())) {
            closeIdle();
        }
        if (!open.isEmpty()) {
            scheduleIdleCheck();
        }
    }

    /** Closes the connections without calls. */
    public void closeIdle() {
        for (Http2Connection connection : new ArrayList<>(open)) {
            if (connection.openStreamCount() == 0) {
                open.remove(connection);
                connection.close(ErrorCode.NO_ERROR, "idle");
            }
        }
    }

    /** Closes all connections and ends all calls; calls that are started later fail. */
    public void shutdown() {
        shutdown = true;
        failPendingCalls("the channel is shut");
        for (Http2Connection connection : new ArrayList<>(open)) {
            connection.close(ErrorCode.NO_ERROR, "shut down");
        }
        open.clear();
    }
}
