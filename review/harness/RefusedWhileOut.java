import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * A class may not be repeated. One of eight workers, a reader, runs eight times slower for a while.
 * Is a request ever refused, which says that a repeat is harmless, while an attempt of it is out?
 *
 * <p>The slow reader and the client are played by one thread that asks both sockets in turn, so
 * that it sees which comes first, the refusal or the end of the attempt. Only a refusal that is
 * there while the attempt's connection still stands, without an answer, is counted.
 */
final class RefusedWhileOut extends Case {
    private static final int SLOWER = 8;
    private static final long READ_MILLIS = 430;
    private static final long BUDGET_MILLIS = 1600;
    private static final int PROMPT_CHARS = 24_000;
    private static final long SLOW_MILLIS = 30_000;
    private static final int REQUESTS = 40;

    private final List<Connection> connections = new ArrayList<>();
    private final List<String> broken = new ArrayList<>();
    private ServerSocketChannel slowServer;
    private double slowUntil;

    RefusedWhileOut() throws Exception {}

    public static void main(String[] args) throws Exception {
        Journal.open(Path.of(args[0]));
        run(new RefusedWhileOut());
    }

    /** One connection to the reader that may be slow. */
    private static final class Connection {
        final SocketChannel channel;
        final ByteBuffer in = ByteBuffer.allocate(1 << 18);

        /** The request that is being read for a client, or null. */
        String id;

        double answerAt;
        boolean ended;

        Connection(SocketChannel channel) {
            this.channel = channel;
        }
    }

    @Override
    int play() throws Exception {
        Settings settings = new Settings();
        settings.semantics = "non_idempotent";
        settings.deadlineMillis = 3000;
        slowServer = ServerSocketChannel.open();
        slowServer.bind(new InetSocketAddress("127.0.0.1", 0));
        slowServer.configureBlocking(false);
        List<Discovery> agents = List.of(discovery("d0"), discovery("d1"));
        for (int i = 0; i < 4; i++) {
            worker("r" + i, "prefill", true, i % 2).readMillis = READ_MILLIS;
            worker("w" + i, "decode", false, i % 2).tokens = 8;
        }
        Worker slow = workers.get(0);
        slow.listenElsewhere((InetSocketAddress) slowServer.getLocalAddress());
        for (Discovery agent : agents) {
            for (Worker worker : workers) {
                agent.put(worker, "active");
            }
        }
        if (!startRouters(settings, agents, agents.get(0).known())) {
            return COULD_NOT_RUN;
        }
        int served = 0;
        for (int i = 0; i < 12; i++) {
            Client.Answer answer = ask("usual" + i, i, settings);
            served += answer.status == 200 ? 1 : 0;
        }
        if (served < 12) {
            Journal.verdict("the case could not run: " + served + " of 12 requests served at first");
            return COULD_NOT_RUN;
        }
        slowUntil = trouble ? Journal.now() + SLOW_MILLIS : -1;
        if (trouble) {
            Journal.line("trouble", slow.uid + " runs " + SLOWER + " times slower for 30 s");
        }
        int[] statuses = new int[600];
        double end = Journal.now() + SLOW_MILLIS;
        for (int i = 0; i < REQUESTS && Journal.now() < end; i++) {
            statuses[ask("q" + i, i, settings).status]++;
        }
        Journal.verdict("answers 200: " + statuses[200] + ", 502: " + statuses[502] + ", 503: "
                + statuses[503] + ", 504: " + statuses[504] + "; refused while an attempt was out: "
                + broken);
        return broken.isEmpty() ? HELD : BROKEN;
    }

    /** Sends one request and waits for its answer, while the reader goes on. */
    private Client.Answer ask(String id, int number, Settings settings) throws IOException {
        Client.Answer answer = new Client.Answer(id, Journal.now());
        fleet.sentIds.add(id);
        try (SocketChannel client = SocketChannel.open(routers.get(number % 2).listen)) {
            client.setOption(StandardSocketOptions.TCP_NODELAY, true);
            ByteBuffer request = ByteBuffer.wrap(Client.request(
                    id, settings.className, "chat", BUDGET_MILLIS, PROMPT_CHARS));
            while (request.hasRemaining()) {
                client.write(request);
            }
            Journal.line("client", "sends " + id);
            client.configureBlocking(false);
            ByteBuffer in = ByteBuffer.allocate(1 << 16);
            while (Journal.now() < answer.sentAt + 10_000) {
                int read = client.read(in);
                if (read > 0 && answer.status == 0 && in.position() >= 12) {
                    List<Connection> out = stillOut(id);
                    answer.status = Integer.parseInt(text(in).substring(9, 12));
                    if ((answer.status == 503 || answer.status == 429) && !out.isEmpty()) {
                        broken.add(id);
                        Journal.line("verdict", id + " was refused while its attempt at the reader"
                                + " was out, " + Math.round(Journal.now() - answer.sentAt)
                                + " ms after it was sent");
                    }
                }
                if (read < 0 || isWhole(text(in))) {
                    answer.complete = read >= 0;
                    break;
                }
                turn();
            }
        }
        answer.endedAt = Journal.now();
        Journal.line("client", answer.toString());
        return answer;
    }

    /** {@return the connections on which the reader has this request, unanswered, and that stand} */
    private List<Connection> stillOut(String id) {
        List<Connection> out = new ArrayList<>();
        for (Connection connection : connections) {
            if (id.equals(connection.id) && !connection.ended && !hasEnded(connection)) {
                out.add(connection);
            }
        }
        return out;
    }

    private static boolean hasEnded(Connection connection) {
        try {
            return connection.channel.read(connection.in) < 0;
        } catch (IOException e) {
            return true;
        }
    }

    private static String text(ByteBuffer in) {
        return new String(in.array(), 0, in.position(), StandardCharsets.ISO_8859_1);
    }

    private static boolean isWhole(String text) {
        int head = text.indexOf("\r\n\r\n");
        return head >= 0
                && (text.startsWith("HTTP/1.1 200") ? text.endsWith("0\r\n\r\n") : true);
    }

    /** One look at everything that the reader has: new connections, requests, due answers. */
    private void turn() throws IOException {
        for (SocketChannel next = slowServer.accept(); next != null; next = slowServer.accept()) {
            next.configureBlocking(false);
            next.setOption(StandardSocketOptions.TCP_NODELAY, true);
            connections.add(new Connection(next));
        }
        for (Iterator<Connection> all = connections.iterator(); all.hasNext(); ) {
            Connection connection = all.next();
            if (connection.id != null && Journal.now() >= connection.answerAt) {
                finishRead(connection);
            }
            if (!connection.ended && hasEnded(connection)) {
                connection.ended = true;
                if (connection.id != null) {
                    Journal.line("r0", "the router ended the connection of " + connection.id);
                }
            }
            if (connection.ended && connection.id == null) {
                connection.channel.close();
                all.remove();
            } else if (connection.id == null) {
                takeRequest(connection);
            }
        }
    }

    private void takeRequest(Connection connection) throws IOException {
        String text = text(connection.in);
        int head = text.indexOf("\r\n\r\n");
        if (head < 0) {
            return;
        }
        int length = text.toLowerCase(java.util.Locale.ROOT).indexOf("content-length: ");
        int content = length < 0 || length > head ? 0 : Integer.parseInt(
                text.substring(length + 16, text.indexOf("\r\n", length)).strip());
        if (connection.in.position() < head + 4 + content) {
            return;
        }
        connection.in.clear();
        if (text.startsWith("POST /v1/chat")) {
            int start = text.toLowerCase(java.util.Locale.ROOT).indexOf("x-call-id: ") + 11;
            connection.id = text.substring(start, text.indexOf("\r\n", start)).strip();
            int slower = Journal.now() < slowUntil ? SLOWER : 1;
            connection.answerAt = Journal.now() + READ_MILLIS * slower;
            Journal.line("r0", "reads " + connection.id);
        } else {
            if (text.startsWith("DELETE")) {
                fleet.states.remove(text.substring(17, text.indexOf(' ', 17)));
            }
            write(connection, "HTTP/1.1 204 -\r\n\r\n");
        }
    }

    private void finishRead(Connection connection) {
        Journal.line("r0", "has read " + connection.id);
        fleet.states.put(connection.id, workers.get(0));
        connection.id = null;
        if (!connection.ended) {
            write(connection, "HTTP/1.1 202 -\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}");
        }
    }

    private static void write(Connection connection, String text) {
        try {
            connection.channel.write(ByteBuffer.wrap(Http.ascii(text)));
        } catch (IOException e) {
            connection.ended = true;
        }
    }
}
