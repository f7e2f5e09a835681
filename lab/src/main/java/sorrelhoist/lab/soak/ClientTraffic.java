package sorrelhoist.lab.soak;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import sorrelhoist.lab.soak.FleetRules.RequestClass;
import sorrelhoist.protocol.http1.HttpBodyDecoder;
import sorrelhoist.protocol.http1.HttpDecodeException;
import sorrelhoist.protocol.http1.HttpHead;
import sorrelhoist.protocol.http1.HttpHeadDecoder;
import sorrelhoist.protocol.net.LoopbackTransport;

/**
 * The clients of a fleet: an open-loop stream of requests to the routers that the front has taken
 * in. One thread.
 */
final class ClientTraffic {
    private static final long CONNECT_MICROS = 1_000_000;
    private static final int MAX_HEAD = 64 << 10;
    private static final long GIVES_UP_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final double REUSE = 0.7;
    private static final double LEAVES = 0.08;
    private static final double READS_SLOWLY = 0.02;
    private static final double PIPELINES = 0.03;
    private static final double TWICE = 0.02;
    private static final long SLOW_PAUSE_MILLIS = 250;
    private static final int LARGE_BODY = 240 << 10;
    private static final int IDLE_KEPT = 40;
    private static final int BAD_LIMIT_MILLIS = 3000;
    private final EventLoop loop;
    private final TrafficLog log;
    private final Random random;
    private final List<RouterTarget> routers;
    private final Map<RouterTarget, Deque<Connection>> idle = new HashMap<>();
    private final List<BadClient> badClients = new ArrayList<>();
    private double requestsPerSecond;
    private boolean stopped;
    private double largeShare;
    private long count;

    /** A router as clients reach it. */
    interface RouterTarget {
        /** {@return its number} */
        int number();

        /** {@return which of its lives this is} */
        int life();

        /** {@return whether the front sends clients there} */
        boolean isTakenIn();

        /** {@return host and port} */
        String address();
    }

    ClientTraffic(
            EventLoop loop,
            TrafficLog log,
            long seed,
            List<RouterTarget> routers,
            double requestsPerSecond) {
        this.loop = loop;
        this.log = log;
        this.random = new Random(seed);
        this.routers = routers;
        this.requestsPerSecond = requestsPerSecond;
    }

    void start() {
        next();
    }

    void stop() {
        stopped = true;
    }

    /** Multiplies the rate of requests. */
    void burst(double factor) {
        requestsPerSecond *= factor;
    }

    /** Lets a part of the requests carry content near the protocol's limit. */
    void large(double share) {
        largeShare = share;
    }

    List<BadClient> badClients() {
        return badClients;
    }

    private void next() {
        if (stopped) {
            return;
        }
        List<RouterTarget> open = routers.stream().filter(RouterTarget::isTakenIn).toList();
        if (!open.isEmpty()) {
            ask(open.get(random.nextInt(open.size())));
        }
        long wait = (long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond * 1e6);
        loop.schedule(this::next, wait, TimeUnit.MICROSECONDS);
    }

    private void ask(RouterTarget router) {
        Deque<Connection> rested = idle.computeIfAbsent(router, r -> new ArrayDeque<>());
        while (!rested.isEmpty() && rested.peek().closed) {
            rested.poll();
        }
        if (!rested.isEmpty() && random.nextDouble() < REUSE) {
            rested.poll().send();
            return;
        }
        LoopbackTransport.connect(loop, router.address(), CONNECT_MICROS, new Connection(router));
    }

    /** Opens connections on which nothing is ever said. */
    void idleCrowd(RouterTarget router, int connections) {
        for (int i = 0; i < connections; i++) {
            LoopbackTransport.connect(
                    loop, router.address(), CONNECT_MICROS, new BadClient(router, ""));
        }
    }

    /** Opens connections that send half a request, or what is none, and stay. */
    void badCrowd(RouterTarget router, int connections) {
        String[] texts = {
            "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Ca",
            "\u0000\u0001 what\r\n\r\n",
            "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: -4\r\n\r\n",
            "POST /v1/chat/completions HTTP/1.1\r\n"
                    + "X-Call-Id: h\r\n"
                    + "X-Call-Class: safe\r\n"
                    + "X-Budget-Ms: 1000\r\n"
                    + "Content-Length: 900\r\n\r\n"
                    + "{\"model\":"
        };
        for (int i = 0; i < connections; i++) {
            LoopbackTransport.connect(
                    loop,
                    router.address(),
                    CONNECT_MICROS,
                    new BadClient(router, texts[i % texts.length]));
        }
    }

    private String text(RequestTrace request) {
        int characters = random.nextDouble() < largeShare ? LARGE_BODY : 200 + random.nextInt(3000);
        String body =
                "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\""
                        + "x".repeat(characters)
                        + "\"}]}";
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: "
                + request.id
                + "\r\nX-Call-Class: "
                + request.requestClass.label()
                + "\r\nX-Route-Hash: s"
                + random.nextInt(50)
                + "\r\nX-Budget-Ms: "
                + TimeUnit.NANOSECONDS.toMillis(request.budgetNanos)
                + "\r\nX-Call-Info: prefix=p"
                + random.nextInt(5)
                + ",prompt_len="
                + body.length() / 4
                + ",prefix_len=40,max_out=100\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    /** One client's connection. */
    private final class Connection extends ChannelInboundHandlerAdapter {
        private final RouterTarget router;
        private final int life;
        private ChannelHandlerContext ctx;
        private HttpHeadDecoder heads = new HttpHeadDecoder(false, MAX_HEAD);
        private HttpHead head;
        private HttpBodyDecoder body;
        private RequestTrace request;
        private String tail = "";
        private boolean spoke;
        private boolean closed;
        private boolean pipelined;

        Connection(RouterTarget router) {
            this.router = router;
            this.life = router.life();
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            ctx = context;
            send();
        }

        void send() {
            RequestClass requestClass =
                    RequestClass.values()[random.nextInt(RequestClass.values().length)];
            long budget =
                    TimeUnit.MILLISECONDS.toNanos(
                            random.nextInt(10) == 0
                                    ? 150 + random.nextInt(400)
                                    : 1500 + random.nextInt(2500));
            RequestTrace asked =
                    new RequestTrace(
                            "r"
                                    + Long.toString(++count, 36)
                                    + "x"
                                    + Long.toString(random.nextInt(1 << 24), 36),
                            requestClass,
                            router.number(),
                            life,
                            budget,
                            !spoke);
            request = asked;
            spoke = true;
            log.opened(asked);
            ctx.writeAndFlush(Unpooled.copiedBuffer(text(asked), StandardCharsets.ISO_8859_1))
                    .addListener(
                            (ChannelFutureListener)
                                    f -> {
                                        if (f.isSuccess()) {
                                            asked.sentAt = System.nanoTime();
                                        }
                                    });
            behave(asked);
            loop.schedule(() -> giveUp(asked), budget + GIVES_UP_NANOS, TimeUnit.NANOSECONDS);
        }

        /** Some clients leave early, read slowly, or say more than they should. */
        private void behave(RequestTrace asked) {
            double draw = random.nextDouble();
            if (draw < LEAVES) {
                boolean reset = random.nextBoolean();
                loop.schedule(
                        () -> leave(asked, reset), random.nextInt(400), TimeUnit.MILLISECONDS);
            } else if (draw < LEAVES + READS_SLOWLY) {
                asked.slowReader = true;
                readSlowly(asked);
            } else if (draw < LEAVES + READS_SLOWLY + PIPELINES) {
                pipelined = true;
                ctx.writeAndFlush(
                        Unpooled.copiedBuffer(
                                "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n",
                                StandardCharsets.ISO_8859_1));
            }
        }

        private void leave(RequestTrace asked, boolean reset) {
            if (request == asked && !closed) {
                asked.leftAt = System.nanoTime();
                closed = true;
                if (reset) {
                    ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
                }
                ctx.close();
            }
        }

        private void readSlowly(RequestTrace asked) {
            if (request == asked && !closed) {
                ctx.channel().config().setAutoRead(!ctx.channel().config().isAutoRead());
                loop.schedule(() -> readSlowly(asked), SLOW_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
            } else if (!closed) {
                ctx.channel().config().setAutoRead(true);
            }
        }

        private void giveUp(RequestTrace asked) {
            if (request == asked && asked.status == 0) {
                leave(asked, true);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf in = (ByteBuf) message;
            try {
                while (in.isReadable() && request != null) {
                    read(in);
                }
            } catch (HttpDecodeException e) {
                ctx.close();
            } finally {
                in.release();
            }
        }

        private void read(ByteBuf in) throws HttpDecodeException {
            if (head == null) {
                head = heads.next(in);
                if (head == null) {
                    return;
                }
                body = HttpBodyDecoder.forHead(head);
                request.status = head.status();
                tail = "";
            }
            for (ByteBuf part = body.next(in); part != null; part = body.next(in)) {
                if (request.status == 200) {
                    events(part.toString(StandardCharsets.ISO_8859_1));
                }
            }
            if (body.isComplete()) {
                answered();
            }
        }

        /** Each event carries the time at which its worker wrote it. */
        private void events(String text) {
            tail += text;
            for (int at = tail.indexOf("t="); at >= 0; at = tail.indexOf("t=")) {
                int end = tail.indexOf(';', at);
                if (end < 0) {
                    return;
                }
                long delay = System.nanoTime() - Long.parseLong(tail.substring(at + 2, end));
                request.longestEventDelay = Math.max(request.longestEventDelay, delay);
                tail = tail.substring(end);
            }
        }

        private void answered() {
            RequestTrace done = request;
            done.answeredAt = System.nanoTime();
            done.whole = true;
            boolean stays = head.isKeepAlive() && !pipelined;
            request = null;
            head = null;
            ctx.channel().config().setAutoRead(true);
            Deque<Connection> rested = idle.computeIfAbsent(router, r -> new ArrayDeque<>());
            if (!stays || rested.size() >= IDLE_KEPT) {
                closed = true;
                ctx.close();
            } else if (done.status != 200 && random.nextDouble() < TWICE) {
                send();
            } else {
                rested.add(this);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            closed = true;
            if (request != null && request.leftAt == RequestTrace.NEVER) {
                request.brokenAt = System.nanoTime();
            }
            request = null;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /**
     * A client that says nothing, or nothing that can be served; it is owed an error or a close.
     */
    final class BadClient extends ChannelInboundHandlerAdapter {
        final RouterTarget router;
        final int life;
        final boolean owed;
        private final String text;
        private Channel channel;
        long connectedAt = RequestTrace.NEVER;
        long heardAt = RequestTrace.NEVER;

        BadClient(RouterTarget router, String text) {
            this.router = router;
            this.life = router.life();
            this.text = text;
            this.owed = !text.isEmpty();
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            connectedAt = System.nanoTime();
            badClients.add(this);
            if (owed) {
                context.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
            }
            loop.schedule(() -> channel.close(), 2L * BAD_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            heardAt = Math.min(heardAt, System.nanoTime());
            ((ByteBuf) message).release();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            heardAt = Math.min(heardAt, System.nanoTime());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
