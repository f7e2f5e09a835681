import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A client: one request on a connection of its own. */
final class Client {
    /** What a client saw of one request. */
    static final class Answer {
        final String id;
        final double sentAt;
        int status;
        boolean complete;
        boolean cut;
        String error = "";
        final List<Double> eventsAt = new ArrayList<>();
        final StringBuilder body = new StringBuilder();
        double endedAt;

        Answer(String id, double sentAt) {
            this.id = id;
            this.sentAt = sentAt;
        }

        @Override
        public String toString() {
            return id + " status " + status + " events " + eventsAt.size()
                    + (complete ? " whole" : "") + (cut ? " cut off" : "")
                    + (error.isEmpty() ? "" : " (" + error + ")")
                    + " after " + Math.round(endedAt - sentAt) + " ms";
        }
    }

    private Client() {}

    /** {@return a request as bytes} */
    static byte[] request(String id, String klass, String model, long budgetMillis, int chars) {
        String body = "{\"model\":\"" + model + "\",\"stream\":true,\"max_tokens\":200,"
                + "\"messages\":[{\"role\":\"user\",\"content\":\"" + "x".repeat(chars) + "\"}]}";
        return Http.ascii("POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: " + id
                + "\r\nX-Call-Class: " + klass + "\r\nX-Route-Hash: s" + id
                + "\r\nX-Budget-Ms: " + budgetMillis
                + "\r\nX-Call-Info: prompt_len=" + Math.max(1, chars / 4) + ",max_out=200"
                + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body);
    }

    static Socket connect(InetSocketAddress router) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(router, 2000);
        return socket;
    }

    /** Sends one request and reads its answer to the end. */
    static Answer call(
            Fleet fleet, InetSocketAddress router, String id, byte[] request, int timeoutMillis) {
        Answer answer = new Answer(id, Journal.now());
        fleet.sentIds.add(id);
        try (Socket socket = connect(router)) {
            socket.setSoTimeout(timeoutMillis);
            Journal.line("client", "sends " + id);
            socket.getOutputStream().write(request);
            read(new BufferedInputStream(socket.getInputStream()), answer);
        } catch (IOException e) {
            answer.cut = answer.status == 200;
            answer.error = e.getClass().getSimpleName() + " " + e.getMessage();
        }
        answer.endedAt = Journal.now();
        Journal.line("client", answer.toString());
        return answer;
    }

    static void read(InputStream in, Answer answer) throws IOException {
        Http.Head head = Http.head(in);
        if (head == null) {
            throw new IOException("closed without an answer");
        }
        answer.status = head.status();
        if (!"chunked".equals(head.fields().get("transfer-encoding"))) {
            Http.content(in, head);
            answer.complete = true;
            return;
        }
        for (byte[] chunk = Http.chunk(in); chunk.length > 0; chunk = Http.chunk(in)) {
            answer.eventsAt.add(Journal.now());
            answer.body.append(new String(chunk, java.nio.charset.StandardCharsets.ISO_8859_1));
        }
        answer.complete = true;
    }
}
