package sorrelhoist.lab.soak;

import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import sorrelhoist.protocol.net.ConnectionAttempt;
import sorrelhoist.protocol.net.LoopbackTransport;

/**
 * The clients of a fleet: an open-loop stream of requests to the routers in rotation, over new and
 * kept connections. Confined to one event loop.
 */
final class ClientTraffic {
    private static final long CONNECT_TIMEOUT_MICROS = 1_000_000;
    private static final double REUSE_SHARE = 0.7;
    private static final String[] MALFORMED_REQUESTS = {
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
    private final EventLoop loop;
    private final TrafficLog log;
    private final Random random;
    private final RequestGenerator requests;
    private final List<RouterEndpoint> routers;
    private final Map<RouterEndpoint, Deque<ClientConnection>> idle = new HashMap<>();

    /** Connections for requests, those that rest included; some may be closed by now. */
    private final Map<RouterEndpoint, Set<ClientConnection>> opened = new HashMap<>();

    private final List<UnservableClient> unservableClients = new ArrayList<>();
    private double requestsPerSecond;
    private boolean stopped;

    ClientTraffic(
            EventLoop loop,
            TrafficLog log,
            long seed,
            List<RouterEndpoint> routers,
            FleetRules rules,
            double requestsPerSecond) {
        this.loop = loop;
        this.log = log;
        this.random = new Random(seed);
        this.requests = new RequestGenerator(random, rules.longestDeadlineMillis());
        this.routers = routers;
        this.requestsPerSecond = requestsPerSecond;
    }

    void start() {
        sendNext();
    }

    void stop() {
        stopped = true;
    }

    /** Multiplies the rate of requests. */
    void multiplyRate(double factor) {
        requestsPerSecond *= factor;
    }

    /** Makes this share of the requests carry content near the protocol's limit. */
    void setLargeBodyShare(double share) {
        requests.setLargeBodyShare(share);
    }

    /** {@return the clients that sent nothing, or nothing that can be served} */
    List<UnservableClient> unservableClients() {
        return unservableClients;
    }

    private void sendNext() {
        if (stopped) {
            return;
        }
        List<RouterEndpoint> reachable =
                routers.stream().filter(r -> r.isInRotation() || r.isEnding()).toList();
        if (!reachable.isEmpty()) {
            sendTo(reachable.get(random.nextInt(reachable.size())));
        }
        double exponential = -Math.log(1 - random.nextDouble());
        long pauseMicros = (long) (exponential / requestsPerSecond * 1e6);
        loop.schedule(this::sendNext, pauseMicros, TimeUnit.MICROSECONDS);
    }

    private void sendTo(RouterEndpoint router) {
        Deque<ClientConnection> kept = idleConnections(router);
        while (!kept.isEmpty() && kept.peek().isClosed()) {
            kept.poll();
        }
        // Clients go on on the connections that they have until the process is gone.
        boolean reuse = !router.isInRotation() || random.nextDouble() < REUSE_SHARE;
        if (!kept.isEmpty() && reuse) {
            kept.poll().send();
        } else if (router.isInRotation() && hasRoom(router)) {
            connect(router, new ClientConnection(router, requests, log, random, kept));
        }
    }

    /** {@return whether a router's clients may hold one more connection for a request} */
    private boolean hasRoom(RouterEndpoint router) {
        Set<ClientConnection> open = opened.computeIfAbsent(router, key -> new HashSet<>());
        open.removeIf(ClientConnection::isClosed);
        return open.size() < router.maxClientConnections();
    }

    private void connect(RouterEndpoint router, ClientConnection connection) {
        Set<ClientConnection> open = opened.get(router);
        open.add(connection);
        connect(router, (ChannelHandler) connection).onFailure(cause -> open.remove(connection));
    }

    private ConnectionAttempt connect(RouterEndpoint router, ChannelHandler handler) {
        return LoopbackTransport.connect(loop, router.address(), CONNECT_TIMEOUT_MICROS, handler);
    }

    private Deque<ClientConnection> idleConnections(RouterEndpoint router) {
        return idle.computeIfAbsent(router, key -> new ArrayDeque<>());
    }

    /** Opens connections on which nothing is ever sent. */
    void openIdleConnections(RouterEndpoint router, int connections) {
        for (int i = 0; i < connections; i++) {
            connect(router, new UnservableClient(router, "", unservableClients::add));
        }
    }

    /** Opens connections that send half a request, or what is none, and stay. */
    void openMalformedConnections(RouterEndpoint router, int connections) {
        for (int i = 0; i < connections; i++) {
            String text = MALFORMED_REQUESTS[i % MALFORMED_REQUESTS.length];
            connect(router, new UnservableClient(router, text, unservableClients::add));
        }
    }
}
