package sorrelhoist.lab.soak;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import sorrelhoist.lab.soak.RequestTrace.AttemptTrace;
import sorrelhoist.lab.soak.RequestTrace.HoldTrace;
import sorrelhoist.lab.soak.WorkerEntry.Role;
import sorrelhoist.protocol.http1.HttpBodyDecoder;
import sorrelhoist.protocol.http1.HttpDecodeException;
import sorrelhoist.protocol.http1.HttpHead;
import sorrelhoist.protocol.http1.HttpHeadDecoder;
import sorrelhoist.protocol.net.LoopbackTransport;

/**
 * A worker of the platform: reads prompts or streams answers, and records what reaches it. It can
 * hang, die, come back and misbehave on a part of its answers.
 */
final class WorkerStandIn {
    private static final int MAX_HEAD = 64 << 10;
    private static final long READ_MILLIS = 25;
    private static final long FIRST_EVENT_MILLIS = 25;
    private static final long EVENT_MILLIS = 40;
    private static final int MOST_EVENTS = 25;
    private static final long STALE_STREAM_MILLIS = 60_000;
    private static final String STREAM_HEAD =
            "HTTP/1.1 200 OK\r\n"
                    + "Content-Type: text/event-stream\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String LAST_EVENTS =
            "data: {\"choices\":[],\"usage\":{\"prompt_tokens_details\":"
                    + "{\"cached_tokens\":4}}}\n\ndata: [DONE]\n\n";
    final String uid;
    final Role role;
    private final EventLoop loop;
    private final TrafficLog log;
    private final Random random;
    private final long idleMillis;
    private final Set<Connection> connections = new HashSet<>();
    private volatile Channel listener;
    private int port;
    private boolean hanging;
    private boolean draining;
    private Misbehaviour misbehaviour = Misbehaviour.NONE;
    private double misbehavingShare;

    /** What a worker does wrong to a part of its answers. */
    enum Misbehaviour {
        NONE,
        RESET_AFTER_REQUEST,
        NOISE,
        SECOND_ANSWER,
        SILENT_IN_STREAM,
        RESET_IN_STREAM,
        FULL,
        BYTE_BY_BYTE
    }

    WorkerStandIn(
            String uid, Role role, EventLoop loop, TrafficLog log, long seed, long idleMillis) {
        this.uid = uid;
        this.role = role;
        this.loop = loop;
        this.log = log;
        this.random = new Random(seed);
        this.idleMillis = idleMillis;
    }

    /**
     * Begins to listen, at its former port after the first time. Not to be called on the loop, as
     * it waits.
     */
    void start() throws IOException {
        listener = LoopbackTransport.listen(loop, port, Connection::new);
        port = LoopbackTransport.localPort(listener);
    }

    int port() {
        return port;
    }

    boolean isAlive() {
        return listener != null;
    }

    /** Dies: its connections are reset, and what it held is gone. */
    void kill() {
        if (listener == null) {
            return;
        }
        listener.close();
        listener = null;
        hanging = false;
        List.copyOf(connections).forEach(Connection::reset);
        long now = System.nanoTime();
        log.requests()
                .forEach(
                        request ->
                                request.holds.stream()
                                        .filter(
                                                hold ->
                                                        hold.worker.equals(uid)
                                                                && hold.goneAt
                                                                        == RequestTrace.NEVER)
                                        .forEach(hold -> hold.goneAt = now));
    }

    /** Stops or goes on doing anything at all; its connections stay open. */
    void hang(boolean on) {
        hanging = on;
        if (!on) {
            List.copyOf(connections).forEach(Connection::goOn);
        }
    }

    /** Turns new requests away from now on, or takes them again. */
    void drain(boolean on) {
        draining = on;
    }

    /** Does something wrong to a part of its answers from now on. */
    void misbehave(Misbehaviour how, double share) {
        misbehaviour = how;
        misbehavingShare = share;
    }

    private Misbehaviour drawn() {
        return random.nextDouble() < misbehavingShare ? misbehaviour : Misbehaviour.NONE;
    }

    private void release(String id) {
        RequestTrace request = log.find(id);
        long now = System.nanoTime();
        if (request != null) {
            request.holds.stream()
                    .filter(hold -> hold.goneAt == RequestTrace.NEVER)
                    .forEach(hold -> hold.goneAt = now);
        }
    }

    /** One connection, one request at a time. */
    private final class Connection extends ChannelInboundHandlerAdapter {
        private final HttpHeadDecoder heads = new HttpHeadDecoder(true, MAX_HEAD);
        private ChannelHandlerContext ctx;
        private ByteBuf held = Unpooled.buffer();
        private HttpHead head;
        private HttpBodyDecoder body;
        private RequestTrace request;
        private AttemptTrace attempt;
        private long firstByteAt;
        private long idleSince;

        /** What is to be done when the worker hangs no more. */
        private Runnable waiting;

        private boolean closed;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            ctx = context;
            connections.add(this);
            idleSince = System.nanoTime();
            lookAtIdle();
        }

        private void lookAtIdle() {
            loop.schedule(
                    () -> {
                        boolean idle = head == null && attempt == null && !held.isReadable();
                        if (!closed
                                && idle
                                && System.nanoTime() - idleSince
                                        >= TimeUnit.MILLISECONDS.toNanos(idleMillis)) {
                            ctx.close();
                        } else if (!closed) {
                            lookAtIdle();
                        }
                    },
                    idleMillis / 4,
                    TimeUnit.MILLISECONDS);
        }

        void reset() {
            if (ctx.channel().isOpen()) {
                ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
                ctx.close();
            }
        }

        /** A worker that hung goes on where its router still waits. */
        void goOn() {
            Runnable next = waiting;
            waiting = null;
            if (next != null && !closed) {
                next.run();
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf in = (ByteBuf) message;
            if (!held.isReadable() && head == null) {
                firstByteAt = System.nanoTime();
            }
            held.discardReadBytes().writeBytes(in);
            in.release();
            work();
        }

        private void work() {
            if (closed || attempt != null) {
                return;
            }
            try {
                if (head == null) {
                    head = heads.next(held);
                    if (head == null) {
                        return;
                    }
                    body = HttpBodyDecoder.forHead(head);
                }
                while (body.next(held) != null) {
                    // The content itself does not matter.
                }
                if (body.isComplete()) {
                    HttpHead asked = head;
                    head = null;
                    answer(asked);
                }
            } catch (HttpDecodeException e) {
                ctx.close();
            }
        }

        private void answer(HttpHead asked) {
            idleSince = System.nanoTime();
            if (asked.path().startsWith("/v1/holds/")) {
                if (asked.method().equals("DELETE")) {
                    release(asked.path().substring("/v1/holds/".length()));
                    say("HTTP/1.1 204 No Content\r\n\r\n");
                } else {
                    say("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                }
                return;
            }
            request = log.find(asked.header("x-call-id"));
            if (request == null) {
                say("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            attempt = new AttemptTrace(role, uid, firstByteAt);
            attempt.arrivedAt = System.nanoTime();
            attempt.toldMillis = Long.parseLong(asked.header("x-budget-ms"));
            request.attempts.add(attempt);
            if (hanging) {
                waiting = this::act;
            } else {
                act();
            }
        }

        private void act() {
            Misbehaviour how = drawn();
            if (draining || how == Misbehaviour.FULL) {
                reject(503);
            } else if (how == Misbehaviour.RESET_AFTER_REQUEST) {
                reset();
            } else if (role == Role.READ) {
                later(READ_MILLIS / 2 + random.nextInt((int) READ_MILLIS), () -> readDone(how));
            } else {
                write(how);
            }
        }

        /**
         * Runs something a little later; what a hanging worker was at goes on only where its router
         * still waits.
         */
        private void later(long millis, Runnable what) {
            loop.schedule(
                    () -> {
                        if (hanging && isAlive() && !closed) {
                            later(EVENT_MILLIS, what);
                        } else if (!hanging && isAlive()) {
                            what.run();
                        }
                    },
                    millis,
                    TimeUnit.MILLISECONDS);
        }

        /** The prompt was read; the state stays also where nobody waits for it any more. */
        private void readDone(Misbehaviour how) {
            request.holds.add(new HoldTrace(uid, System.nanoTime()));
            if (closed) {
                return;
            }
            if (how == Misbehaviour.NOISE) {
                say("\u0001\u0002 noise \r\n\r\n");
            } else {
                String answer =
                        "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":7}";
                sayAs(how, how == Misbehaviour.SECOND_ANSWER ? answer + answer : answer);
            }
            ended();
        }

        private void reject(int status) {
            attempt.rejected = true;
            say(
                    "HTTP/1.1 "
                            + status
                            + " Turned Away\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n");
            ended();
        }

        private void write(Misbehaviour how) {
            long now = System.nanoTime();
            List<HoldTrace> states =
                    request.holds.stream().filter(h -> h.goneAt == RequestTrace.NEVER).toList();
            if (states.isEmpty()) {
                reject(410);
                return;
            }
            states.forEach(state -> state.goneAt = now);
            int events = 1 + random.nextInt(MOST_EVENTS);
            int breaksAt =
                    how == Misbehaviour.SILENT_IN_STREAM || how == Misbehaviour.RESET_IN_STREAM
                            ? random.nextInt(events)
                            : -1;
            if (how == Misbehaviour.NOISE) {
                later(FIRST_EVENT_MILLIS, () -> say("HTP/9 what\u0000\r\n\r\n"));
                return;
            }
            later(FIRST_EVENT_MILLIS, () -> event(how, 0, events, breaksAt));
        }

        private void event(Misbehaviour how, int index, int events, int breaksAt) {
            if (closed) {
                return;
            }
            if (index == breaksAt) {
                if (how == Misbehaviour.RESET_IN_STREAM) {
                    reset();
                } else {
                    loop.schedule(this::reset, STALE_STREAM_MILLIS, TimeUnit.MILLISECONDS);
                }
                return;
            }
            String start = index == 0 ? STREAM_HEAD : "";
            if (index < events) {
                sayAs(
                        how,
                        start
                                + chunk(
                                        "data:"
                                            + " {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t="
                                                + System.nanoTime()
                                                + ";\"},\"finish_reason\":null}]}\n\n"));
                later(
                        EVENT_MILLIS / 2 + random.nextInt((int) EVENT_MILLIS),
                        () -> event(how, index + 1, events, breaksAt));
                return;
            }
            attempt.streamFinished = true;
            String last = chunk(LAST_EVENTS) + "0\r\n\r\n";
            sayAs(
                    how,
                    how == Misbehaviour.SECOND_ANSWER
                            ? last + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                            : last);
            ended();
        }

        private String chunk(String data) {
            return Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
        }

        private void sayAs(Misbehaviour how, String text) {
            if (how == Misbehaviour.BYTE_BY_BYTE) {
                for (int i = 0; i < text.length(); i++) {
                    say(text.substring(i, i + 1));
                }
            } else {
                say(text);
            }
        }

        private void say(String text) {
            if (!closed) {
                ctx.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1))
                        .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
            }
        }

        private void ended() {
            attempt.endedAt = System.nanoTime();
            attempt = null;
            idleSince = System.nanoTime();
            loop.execute(this::work);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            closed = true;
            connections.remove(this);
            held.release();
            if (attempt != null) {
                attempt.endedAt = Math.min(attempt.endedAt, System.nanoTime());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            ctx.close();
        }
    }
}
