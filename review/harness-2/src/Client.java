import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;

/** One request of a client, on a connection of its own, and what came of it. */
final class Client {
    /** How a request ended, as its client sees it. */
    enum End {
        SERVED,
        REFUSED,
        FAILED,
        /** The connection ended without any answer. */
        NO_ANSWER,
        /** The stream ended without its last chunk. */
        CUT,
        /** Nothing came for as long as the client was ready to wait. */
        SILENT
    }

    final String id;
    final String requestClass;
    volatile double sentAt = -1;
    volatile double endedAt = -1;
    volatile int status;
    volatile double retryAfterMillis;
    volatile End end;
    volatile int events;
    volatile Socket socket;
    private final Record record;

    Client(Record record, String id, String requestClass) {
        this.record = record;
        this.id = id;
        this.requestClass = requestClass;
    }

    /** What X-Call-Info tells of a shared opening. */
    volatile String prefix = "prefix_len=0";

    static byte[] request(String id, String requestClass, long budgetMillis, int bodyBytes) {
        return request(id, requestClass, budgetMillis, bodyBytes, "prefix_len=0");
    }

    static byte[] request(
            String id, String requestClass, long budgetMillis, int bodyBytes, String prefix) {
        String begin = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":64,"
                + "\"messages\":[{\"role\":\"user\",\"content\":\"";
        String close = "\"}]}";
        int fill = Math.max(4, bodyBytes - begin.length() - close.length());
        String body = begin + "a".repeat(fill) + close;
        return Http.bytes("POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: " + id
                + "\r\nX-Call-Class: " + requestClass + "\r\nX-Route-Hash: h" + id
                + "\r\nX-Budget-Ms: " + budgetMillis
                + "\r\nX-Call-Info: prompt_len=" + (body.length() / 4) + "," + prefix + ",max_out=64"
                + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body);
    }

    /** Sends the request and reads its answer to the end. */
    void run(int port, long budgetMillis, int bodyBytes, long patienceMillis) {
        byte[] request = request(id, requestClass, budgetMillis, bodyBytes, prefix);
        boolean streaming = false;
        try (Socket connection = new Socket("127.0.0.1", port)) {
            socket = connection;
            connection.setTcpNoDelay(true);
            connection.setSoTimeout((int) patienceMillis);
            connection.getOutputStream().write(request);
            sentAt = record.now();
            record.line("client sent " + id + " class " + requestClass + " budget " + budgetMillis);
            InputStream in = new BufferedInputStream(connection.getInputStream());
            Http.Head head = Http.readHead(in);
            if (head == null) {
                finish(End.NO_ANSWER);
                return;
            }
            status = head.status();
            if (status == 200) {
                streaming = true;
                for (byte[] chunk = Http.readChunk(in); chunk.length > 0; chunk = Http.readChunk(in)) {
                    events++;
                }
                finish(End.SERVED);
                return;
            }
            Http.readContent(in, head);
            String retryAfter = head.field("retry-after");
            retryAfterMillis = retryAfter == null ? 0 : 1000 * Double.parseDouble(retryAfter);
            finish(status == 503 || status == 429 ? End.REFUSED : End.FAILED);
        } catch (SocketTimeoutException e) {
            finish(End.SILENT);
        } catch (IOException e) {
            finish(streaming ? End.CUT : End.NO_ANSWER);
        }
    }

    /**
     * Whether the request was sent whole and no final answer came up to half a second after its
     * time; a close with no answer counts as one.
     */
    boolean isLost(long budgetMillis) {
        if (sentAt < 0) {
            return false;
        }
        boolean late = status != 200 && endedAt - sentAt > budgetMillis + 500;
        return end == End.SILENT || end == End.NO_ANSWER || end == End.CUT || late;
    }

    private void finish(End how) {
        endedAt = record.now();
        end = how;
        record.line("client got " + id + " " + how + " status " + status + " events " + events
                + (retryAfterMillis > 0 ? " retry-after-ms " + retryAfterMillis : ""));
    }
}
