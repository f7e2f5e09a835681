import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker of the platform: a reader keeps the state of a prompt, a writer streams an answer. */
class Worker {
    final String uid;
    final boolean reader;
    final Record record;
    final ServerSocket server;

    /** States that are held, by request id, for the whole fleet. */
    private final Set<String> states;

    /** How many prompts a reader reads at once, and how many more may wait. */
    final Semaphore slots = new Semaphore(8);
    final AtomicInteger waiting = new AtomicInteger();
    volatile int queue = 50;

    volatile long readMillis = 20;
    volatile long firstEventMillis = 20;
    volatile long eventMillis = 20;
    volatile int events = 5;

    /** Whether it goes on with nothing: connections stay open and silent. */
    volatile boolean hanging;

    /** Whether a writer without a state reads the prompt itself. */
    volatile boolean readsItself;

    Worker(Record record, String uid, boolean reader, Set<String> states) throws IOException {
        this.record = record;
        this.uid = uid;
        this.reader = reader;
        this.states = states;
        server = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
        Stand.thread("worker", this::accept);
    }

    String entry(String state) {
        return entry(state, 0);
    }

    String entry(String state, long bootMillis) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + server.getLocalPort()
                + "\",\"az\":\"a\",\"model\":\"" + (reader ? "prefill" : "decode")
                + "\",\"pod_group\":1,\"state\":\"" + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMillis + "}";
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            Stand.thread("worker-connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream(), 1 << 16);
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                byte[] body = Http.readContent(in, head);
                handle(head, body, out);
            }
        } catch (SocketException | java.io.EOFException e) {
            // The router has given the connection up.
        }
    }

    private void handle(Http.Head head, byte[] body, OutputStream out) throws Exception {
        String target = head.target();
        if (target.startsWith("/v1/holds/")) {
            String id = target.substring("/v1/holds/".length());
            awaitRunning();
            if (head.method().equals("DELETE")) {
                states.remove(id);
                out.write(Http.bytes("HTTP/1.1 204 No Content\r\n\r\n"));
            } else {
                out.write(Http.bytes("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"));
            }
            return;
        }
        String id = head.field("x-call-id");
        if (!target.startsWith("/v1/chat/completions") || id == null) {
            awaitRunning();
            out.write(Http.bytes("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"));
            return;
        }
        record.line("worker " + uid + " gets " + id + " budget " + head.field("x-budget-ms")
                + " bytes " + body.length);
        arrived(id);
        if (reader) {
            read(id, body.length / 4, Math.min(body.length / 4, prefixTokens(head)), out);
        } else {
            write(id, out);
        }
    }

    /** How long a reader takes for a prompt of which it has kept the shared opening. */
    long readMillis(long tokens, long kept) {
        return readMillis;
    }

    /** Called when the last byte of an attempt has come. */
    void arrived(String id) {}

    /** Called when a writer has begun to work on a request. */
    void began(String id) throws Exception {}

    /** Called before each event; index 0 is the first. */
    void beforeEvent(String id, int index) throws Exception {}

    final void awaitRunning() throws InterruptedException {
        while (hanging) {
            Thread.sleep(10);
        }
    }

    private static long prefixTokens(Http.Head head) {
        String info = "" + head.field("x-call-info");
        return info.matches(".*prefix_len=[0-9]+.*")
                ? Long.parseLong(info.replaceAll(".*prefix_len=([0-9]+).*", "$1"))
                : 0;
    }

    private void read(String id, long tokens, long kept, OutputStream out) throws Exception {
        if (waiting.incrementAndGet() > queue) {
            waiting.decrementAndGet();
            record.line("worker " + uid + " turns away " + id);
            out.write(Http.bytes("HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"));
            return;
        }
        slots.acquire();
        waiting.decrementAndGet();
        try {
            Thread.sleep(readMillis(tokens, kept));
        } finally {
            slots.release();
        }
        awaitRunning();
        states.add(id);
        record.line("worker " + uid + " has read " + id);
        String content = "{\"cached_tokens\":" + kept + "}";
        out.write(Http.bytes("HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\n"
                + "Content-Length: " + content.length() + "\r\n\r\n" + content));
    }

    private void write(String id, OutputStream out) throws Exception {
        awaitRunning();
        if (!states.remove(id) && !readsItself) {
            record.line("worker " + uid + " has no state of " + id);
            out.write(Http.bytes("HTTP/1.1 410 Gone\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"));
            return;
        }
        record.line("worker " + uid + " begins " + id);
        began(id);
        Thread.sleep(firstEventMillis);
        awaitRunning();
        int count = events;
        for (int i = 0; i < count; i++) {
            beforeEvent(id, i);
            awaitRunning();
            String event = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + id + "-" + i
                    + "\"},\"finish_reason\":null}]}\n\n";
            byte[] chunk = Http.chunk(event);
            if (i == 0) {
                out.write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n"));
            }
            out.write(chunk);
            record.line("worker " + uid + " event " + i + " of " + id);
            Thread.sleep(eventMillis);
        }
        awaitRunning();
        out.write(Http.chunk("data: {\"choices\":[],\"usage\":{\"prompt_tokens\":100,"
                + "\"completion_tokens\":" + count
                + ",\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\ndata: [DONE]\n\n"));
        out.write(Http.bytes("0\r\n\r\n"));
        record.line("worker " + uid + " finished " + id);
    }
}
