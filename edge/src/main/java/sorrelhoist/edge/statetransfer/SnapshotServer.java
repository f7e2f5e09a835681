package sorrelhoist.edge.statetransfer;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.function.LongConsumer;
import sorrelhoist.core.statetransfer.KeyDigest;
import sorrelhoist.core.statetransfer.MessageAuthenticator;
import sorrelhoist.core.statetransfer.SnapshotTransfer;
import sorrelhoist.protocol.grpc.ServerCall;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.grpc.StatusCode;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.statetransfer.SnapshotChunk;
import sorrelhoist.protocol.statetransfer.SnapshotRequest;
import sorrelhoist.routing.Knowledge;

/**
 * Sends this edge's knowledge to edges that start, one chunk per slice of background work. The
 * number of concurrent transfers is limited, and so are the bytes and the time of each. A recipient
 * that does not read gets no further chunks. Its state belongs to the router's thread.
 */
public final class SnapshotServer {
    /** gRPC path of the method. */
    public static final String METHOD_PATH = "/sorrelhoist.know.v1.Teacher/Teach";

    private static final int MAX_TRANSFERS = 4;
    private static final int MAX_PREFIXES = 10_000;
    private static final int MAX_TRANSFER_BYTES = 4 << 20;
    private static final int MAX_UNSENT_BYTES = 64 << 10;
    private static final long TRANSFER_TIMEOUT_MICROS = TimeUnit.SECONDS.toMicros(30);
    private static final long SLICE_INTERVAL_MICROS = TimeUnit.MILLISECONDS.toMicros(20);

    private final String edgeName;
    private final MessageAuthenticator authenticator;
    private final IntFunction<Knowledge> knowledge;
    private final Consumer<Runnable> routerExecutor;
    private final Runnable onWorkAvailable;
    private final Queue<Session> sessions = new ArrayDeque<>();

    /** A running transfer to one recipient. */
    private static final class Session {
        final ServerCall call;
        final SnapshotRequest request;
        final SnapshotTransfer transfer;
        final long deadlineMicros;
        final AtomicInteger unsentBytes = new AtomicInteger();
        volatile boolean cancelled;
        int nextIndex;

        Session(
                ServerCall call,
                SnapshotRequest request,
                SnapshotTransfer transfer,
                long deadlineMicros) {
            this.call = call;
            this.request = request;
            this.transfer = transfer;
            this.deadlineMicros = deadlineMicros;
        }

        /** Ends the call, on the call's network thread. */
        void close(Status status) {
            call.executor().execute(() -> call.close(status, null));
        }

        /** Sends a chunk on the call's network thread, and ends the call after the last chunk. */
        void send(SnapshotChunk chunk) {
            unsentBytes.addAndGet(chunk.payload().length);
            call.executor()
                    .execute(
                            () -> {
                                call.send(chunk.toByteArray());
                                unsentBytes.set(call.pendingBytes());
                                if (chunk.last()) {
                                    call.close(Status.OK, null);
                                }
                            });
        }
    }

    /**
     * Creates a server.
     *
     * @param edgeName this edge's name
     * @param authenticator signs chunks and verifies requests
     * @param knowledge supplies this edge's knowledge with at most the given number of prefixes;
     *     called on the router's thread
     * @param routerExecutor runs a task on the router's thread
     * @param onWorkAvailable run on the router's thread when there is background work
     */
    public SnapshotServer(
            String edgeName,
            MessageAuthenticator authenticator,
            IntFunction<Knowledge> knowledge,
            Consumer<Runnable> routerExecutor,
            Runnable onWorkAvailable) {
        this.edgeName = edgeName;
        this.authenticator = authenticator;
        this.knowledge = knowledge;
        this.routerExecutor = routerExecutor;
        this.onWorkAvailable = onWorkAvailable;
    }

    /**
     * Accepts a call.
     *
     * @param call the call of a recipient
     * @return the listener for the call
     */
    public ServerCall.Listener accept(ServerCall call) {
        return new CallListener(call);
    }

    private boolean isAuthentic(SnapshotRequest request) {
        return request.donor().equals(edgeName)
                && authenticator.verify(
                        request.keyId(),
                        request.mac(),
                        request.recipient(),
                        edgeName,
                        request.exchangeId(),
                        0,
                        request.digest());
    }

    /**
     * Starts a transfer on the router's thread. Returns null, and ends the call, if too many
     * transfers are running.
     */
    private Session startSession(ServerCall call, SnapshotRequest request) {
        if (sessions.size() >= MAX_TRANSFERS) {
            Status busy = new Status(StatusCode.RESOURCE_EXHAUSTED, "other transfers are running");
            call.executor().execute(() -> call.close(busy, null));
            return null;
        }
        long now = nowMicros();
        SnapshotTransfer transfer =
                new SnapshotTransfer(
                        knowledge.apply(MAX_PREFIXES),
                        KeyDigest.decode(request.digest()),
                        MAX_TRANSFER_BYTES,
                        now);
        Session session = new Session(call, request, transfer, now + TRANSFER_TIMEOUT_MICROS);
        sessions.add(session);
        onWorkAvailable.run();
        return session;
    }

    /**
     * Runs one slice on the router's thread: sends one chunk of one transfer.
     *
     * @param onBytes receives the number of bytes that were sent
     * @return the delay until the next slice is due, in microseconds; Long.MAX_VALUE if no transfer
     *     is running
     */
    public long runSlice(LongConsumer onBytes) {
        Session session = sessions.poll();
        if (session == null) {
            return Long.MAX_VALUE;
        }
        long now = nowMicros();
        if (session.cancelled || now > session.deadlineMicros) {
            session.close(new Status(StatusCode.DEADLINE_EXCEEDED, "the transfer took too long"));
        } else if (session.unsentBytes.get() > MAX_UNSENT_BYTES) {
            sessions.add(session);
        } else {
            SnapshotChunk chunk = nextChunk(session, now);
            onBytes.accept(chunk.payload().length);
            session.send(chunk);
            if (!chunk.last()) {
                sessions.add(session);
            }
        }
        return sessions.isEmpty() ? Long.MAX_VALUE : SLICE_INTERVAL_MICROS;
    }

    private SnapshotChunk nextChunk(Session session, long now) {
        byte[] payload = session.transfer.nextChunk(now);
        boolean last = payload == null;
        byte[] sent = last ? new byte[0] : payload;
        int index = session.nextIndex++;
        return new SnapshotChunk(
                index,
                sent,
                last,
                authenticator.signingKeyId(),
                authenticator.sign(
                        edgeName,
                        session.request.recipient(),
                        session.request.exchangeId(),
                        index,
                        sent));
    }

    private static long nowMicros() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }

    /** Handles a recipient's call, on the call's network thread. */
    private final class CallListener implements ServerCall.Listener {
        private final ServerCall call;
        private volatile Session session;

        CallListener(ServerCall call) {
            this.call = call;
        }

        @Override
        public void onMessage(byte[] message) {
            try {
                SnapshotRequest request = SnapshotRequest.parse(message);
                if (isAuthentic(request)) {
                    routerExecutor.accept(() -> session = startSession(call, request));
                } else {
                    call.close(
                            new Status(
                                    StatusCode.UNAUTHENTICATED,
                                    "the request's signature is not valid"),
                            null);
                }
            } catch (ProtoException e) {
                call.close(new Status(StatusCode.INVALID_ARGUMENT, e.getMessage()), null);
            }
        }

        @Override
        public void onCancel(String reason) {
            Session current = session;
            if (current != null) {
                current.cancelled = true;
            }
        }

        @Override
        public void onReady() {
            Session current = session;
            if (current != null) {
                current.unsentBytes.set(0);
            }
        }
    }
}
