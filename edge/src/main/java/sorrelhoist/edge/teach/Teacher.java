package sorrelhoist.edge.teach;

import java.util.ArrayDeque;
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
 * Teaches new routers what this one knows, one chunk a slice of background work. Few lessons at
 * once, each bounded in bytes and time; a learner that takes nothing gets nothing more. Its state
 * is the router thread's.
 */
public final class Teacher {
    /** Path of the method. */
    public static final String TEACH = "/sorrelhoist.know.v1.Teacher/Teach";

    private static final int MOST_AT_ONCE = 4;
    private static final int MOST_KEYS = 10_000;
    private static final int MOST_BYTES = 4 << 20;
    private static final int BEHIND = 64 << 10;
    private static final long LESSON_MICROS = 30_000_000;
    private static final long PAUSE = 20_000;

    private static final class Session {
        final ServerCall call;
        final SnapshotRequest request;
        final SnapshotTransfer lesson;
        final long until;
        volatile int behind;
        volatile boolean gone;
        int index;

        Session(ServerCall call, SnapshotRequest request, SnapshotTransfer lesson, long until) {
            this.call = call;
            this.request = request;
            this.lesson = lesson;
            this.until = until;
        }
    }

    private final String name;
    private final MessageAuthenticator seal;
    private final IntFunction<Knowledge> known;
    private final java.util.function.Consumer<Runnable> router;
    private final Runnable wake;
    private final ArrayDeque<Session> sessions = new ArrayDeque<>();

    /**
     * Makes a teacher.
     *
     * @param name this edge's
     * @param seal signs and verifies
     * @param known gives what is known, on the router's thread, with at most so many keys
     * @param router runs something on the router's thread
     * @param wake tells that there is background work
     */
    public Teacher(
            String name,
            MessageAuthenticator seal,
            IntFunction<Knowledge> known,
            java.util.function.Consumer<Runnable> router,
            Runnable wake) {
        this.name = name;
        this.seal = seal;
        this.known = known;
        this.router = router;
        this.wake = wake;
    }

    /** A learner calls. {@return who is told of the rest} */
    public ServerCall.Listener open(ServerCall call) {
        return new ServerCall.Listener() {
            private volatile Session session;

            @Override
            public void onMessage(byte[] bytes) {
                try {
                    SnapshotRequest r = SnapshotRequest.parse(bytes);
                    if (!r.donor().equals(name)
                            || !seal.verify(
                                    r.keyId(),
                                    r.mac(),
                                    r.recipient(),
                                    name,
                                    r.exchangeId(),
                                    0,
                                    r.digest())) {
                        call.close(
                                new Status(
                                        StatusCode.UNAUTHENTICATED,
                                        "the request's seal is not right"),
                                null);
                        return;
                    }
                    router.accept(() -> session = begin(call, r));
                } catch (ProtoException e) {
                    call.close(new Status(StatusCode.INVALID_ARGUMENT, e.getMessage()), null);
                }
            }

            @Override
            public void onCancel(String why) {
                Session s = session;
                if (s != null) {
                    s.gone = true;
                }
            }

            @Override
            public void onReady() {
                Session s = session;
                if (s != null) {
                    s.behind = 0;
                }
            }
        };
    }

    private Session begin(ServerCall call, SnapshotRequest r) {
        if (sessions.size() >= MOST_AT_ONCE) {
            call.executor()
                    .execute(
                            () ->
                                    call.close(
                                            new Status(
                                                    StatusCode.RESOURCE_EXHAUSTED,
                                                    "teaching others"),
                                            null));
            return null;
        }
        long now = System.nanoTime() / 1000;
        Session s =
                new Session(
                        call,
                        r,
                        new SnapshotTransfer(
                                known.apply(MOST_KEYS),
                                KeyDigest.decode(r.digest()),
                                MOST_BYTES,
                                now),
                        now + LESSON_MICROS);
        sessions.add(s);
        wake.run();
        return s;
    }

    /**
     * Runs one slice: one chunk of one lesson.
     *
     * @param spent takes the bytes
     * @return microseconds until the next is due; Long.MAX_VALUE for none
     */
    public long slice(LongConsumer spent) {
        Session s = sessions.poll();
        if (s == null) {
            return Long.MAX_VALUE;
        }
        long now = System.nanoTime() / 1000;
        if (s.gone || now > s.until) {
            s.call.executor()
                    .execute(
                            () ->
                                    s.call.close(
                                            new Status(
                                                    StatusCode.DEADLINE_EXCEEDED,
                                                    "the lesson took too long"),
                                            null));
        } else if (s.behind > BEHIND) {
            sessions.add(s);
        } else {
            byte[] payload = s.lesson.nextChunk(now);
            byte[] piece = payload == null ? new byte[0] : payload;
            int index = s.index++;
            SnapshotChunk chunk =
                    new SnapshotChunk(
                            index,
                            piece,
                            payload == null,
                            seal.signingKeyId(),
                            seal.sign(
                                    name,
                                    s.request.recipient(),
                                    s.request.exchangeId(),
                                    index,
                                    piece));
            spent.accept(piece.length);
            s.behind += piece.length;
            s.call.executor()
                    .execute(
                            () -> {
                                s.call.send(chunk.toByteArray());
                                s.behind = s.call.pendingBytes();
                                if (chunk.last()) {
                                    s.call.close(Status.OK, null);
                                }
                            });
            if (payload != null) {
                sessions.add(s);
            }
        }
        return sessions.isEmpty() ? Long.MAX_VALUE : PAUSE;
    }
}
