import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A stand-in for a worker: a reader (prefill) or a writer (decode). */
final class Worker implements AutoCloseable {
    final String uid;
    final String kind;
    final String zone;
    final int cell;
    final boolean reader;
    private final Fleet fleet;
    private final ServerSocket server;
    private java.net.InetSocketAddress elsewhere;

    /** How long the reading of a prompt takes. */
    volatile long readMillis = 120;

    /** How long a writer takes until its first token. */
    volatile long firstTokenMillis = 60;

    /** The time of one token. */
    volatile long tokenMillis = 20;

    /** Tokens of an answer, and of one event. */
    volatile int tokens = 40;

    volatile int tokensPerEvent = 4;

    /** How many times slower than usual it runs. */
    volatile double slower = 1;

    Worker(Fleet fleet, String uid, String kind, boolean reader, String zone, int cell)
            throws IOException {
        this.fleet = fleet;
        this.uid = uid;
        this.kind = kind;
        this.reader = reader;
        this.zone = zone;
        this.cell = cell;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Discovery.daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + (elsewhere == null ? server.getLocalPort() : elsewhere.getPort());
    }

    /** Lists another address for this worker, at which the test itself plays it. */
    void listenElsewhere(java.net.InetSocketAddress address) {
        elsewhere = address;
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Discovery.daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream(), 1 << 16);
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.head(in); head != null; head = Http.head(in)) {
                byte[] content = Http.content(in, head);
                answer(head, content, out);
                if (head.closes()) {
                    return;
                }
            }
        } catch (IOException e) {
            // The router gave up the attempt or closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void answer(Http.Head head, byte[] content, OutputStream out)
            throws IOException, InterruptedException {
        String target = head.target();
        if (target.startsWith("/v1/holds/")) {
            String id = target.substring("/v1/holds/".length());
            if (head.method().equals("DELETE")) {
                fleet.states.remove(id);
                Journal.line(uid, "DELETE " + id);
                plain(out, 204, "");
            } else {
                plain(out, 409, "");
            }
        } else if (target.startsWith("/-/")) {
            plain(out, 200, "");
        } else {
            work(head, out);
        }
    }

    private void work(Http.Head head, OutputStream out) throws IOException, InterruptedException {
        String id = head.fields().get("x-call-id");
        if (id == null) {
            plain(out, 404, "");
            return;
        }
        if (!fleet.sentIds.contains(id)) {
            Journal.line(uid, "an id that no client sent: " + id);
            plain(out, 400, "");
            return;
        }
        long budget = Long.parseLong(head.fields().getOrDefault("x-budget-ms", "0"));
        Journal.line(uid, (reader ? "reads " : "writes ") + id + " budget " + budget + " ms");
        fleet.listener.begun(this, id, budget);
        if (reader) {
            Thread.sleep((long) (readMillis * slower));
            fleet.states.put(id, this);
            Journal.line(uid, "has read " + id);
            json(out, 202, "{\"cached_tokens\":0}");
        } else {
            if (fleet.states.remove(id) == null) {
                // Writers read a prompt themselves where the settings say so.
                Thread.sleep((long) (readMillis * 2 * slower));
            }
            Thread.sleep((long) (firstTokenMillis * slower));
            stream(id, out);
        }
    }

    private void stream(String id, OutputStream out) throws IOException, InterruptedException {
        out.write(Http.ascii("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n"));
        int written = 0;
        while (written < tokens) {
            int before = written;
            int count = Math.min(tokensPerEvent, tokens - written);
            written += count;
            String reason = written < tokens ? "null" : "\"stop\"";
            try {
                out.write(Http.chunked("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\""
                        + "abcd".repeat(count) + "\"},\"finish_reason\":" + reason + "}]}\n\n"));
            } catch (IOException e) {
                Journal.line(uid, "could not write what follows " + before + "/" + tokens
                        + " tokens of " + id + ": the router closed the connection");
                throw e;
            }
            Journal.line(uid, "wrote " + written + "/" + tokens + " tokens of " + id);
            if (written < tokens) {
                Thread.sleep((long) (tokensPerEvent * tokenMillis * slower));
            }
        }
        out.write(Http.chunked("data: {\"choices\":[],\"usage\":{\"prompt_tokens\":64,"
                + "\"completion_tokens\":" + tokens
                + ",\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n"));
        out.write(Http.chunked("data: [DONE]\n\n"));
        out.write(Http.ascii("0\r\n\r\n"));
        Journal.line(uid, "ended the stream of " + id);
    }

    private static void plain(OutputStream out, int status, String text) throws IOException {
        out.write(Http.ascii("HTTP/1.1 " + status + " -\r\n"
                + (status == 204 ? "" : "Content-Length: " + text.length() + "\r\n")
                + "\r\n" + text));
    }

    private static void json(OutputStream out, int status, String text) throws IOException {
        out.write(Http.ascii("HTTP/1.1 " + status + " -\r\nContent-Type: application/json\r\n"
                + "Content-Length: " + text.length() + "\r\n\r\n" + text));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
