package sorrelhoist.protocol.http1;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Parses HTTP/1.1 messages (RFC 9112) however their bytes are cut. What two readers could take for two different
 * things is refused: bare line feeds in the head, white space before a colon, content-length beside chunked.
 */
public final class HttpParser {
    private enum At { START, FIELDS, BODY, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS, TO_CLOSE }

    /** What was wrong with a message, and the status that says so. */
    public static final class BadMessage extends Exception {
        private static final long serialVersionUID = 1;
        private final int status;

        BadMessage(int status, String message) {
            super(message, null, false, false);
            this.status = status;
        }

        /** {@return the response's status} */
        public int status() {
            return status;
        }
    }

    private static final int MAX_HEAD = 16 << 10;
    private final boolean requests;
    private final int maxBody;
    private final StringBuilder line = new StringBuilder();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private At at = At.START;
    private int head;
    private String method = "";
    private String target = "";
    private int status;
    private Map<String, String> headers = new LinkedHashMap<>();
    private int left;

    /**
     * Makes a parser.
     *
     * @param requests whether requests are expected, or responses
     * @param maxBody bytes of content taken at most
     */
    public HttpParser(boolean requests, int maxBody) {
        this.requests = requests;
        this.maxBody = maxBody;
    }

    /** {@return the next whole message, or null where more bytes are needed} */
    public HttpMessage next(ByteBuf in) throws BadMessage {
        while (in.isReadable()) {
            switch (at) {
                case BODY, CHUNK, TO_CLOSE -> {
                    int part = at == At.TO_CLOSE ? in.readableBytes() : Math.min(left, in.readableBytes());
                    grow(part);
                    byte[] bytes = new byte[part];
                    in.readBytes(bytes);
                    body.writeBytes(bytes);
                    left -= part;
                    if (at == At.CHUNK && left == 0) {
                        at = At.CHUNK_END;
                    } else if (at == At.BODY && left == 0) {
                        return done();
                    }
                }
                default -> {
                    String whole = line(in);
                    if (whole != null && take(whole)) {
                        return done();
                    }
                }
            }
        }
        return null;
    }

    /** {@return the message that ends with its connection, or null where there is none} */
    public HttpMessage atClose() {
        return at == At.TO_CLOSE ? done() : null;
    }

    private String line(ByteBuf in) throws BadMessage {
        while (in.isReadable()) {
            char c = (char) in.readUnsignedByte();
            if (++head > MAX_HEAD) {
                throw new BadMessage(431, "a head of more than " + MAX_HEAD + " bytes");
            }
            if (c == '\n') {
                int end = line.length() - 1;
                if (end < 0 || line.charAt(end) != '\r') {
                    throw new BadMessage(400, "a line has to end with CR LF");
                }
                line.setLength(end);
                String whole = line.toString();
                line.setLength(0);
                return whole;
            }
            line.append(c);
        }
        return null;
    }

    /** {@return whether the message ends with this line} */
    private boolean take(String whole) throws BadMessage {
        switch (at) {
            case START -> {
                if (!whole.isEmpty()) {
                    startLine(whole);
                    at = At.FIELDS;
                }
                return false;
            }
            case FIELDS -> {
                if (!whole.isEmpty()) {
                    field(whole);
                    return false;
                }
                return headDone();
            }
            case CHUNK_SIZE -> {
                int semicolon = whole.indexOf(';');
                String size = (semicolon < 0 ? whole : whole.substring(0, semicolon)).strip();
                if (!size.matches("[0-9a-fA-F]{1,7}")) {
                    throw new BadMessage(400, "a chunk's size is no number");
                }
                left = Integer.parseInt(size, 16);
                at = left == 0 ? At.TRAILERS : At.CHUNK;
                head = 0;
                return false;
            }
            case CHUNK_END -> {
                if (!whole.isEmpty()) {
                    throw new BadMessage(400, "a chunk is longer than it said");
                }
                at = At.CHUNK_SIZE;
                return false;
            }
            default -> {
                return whole.isEmpty();
            }
        }
    }

    private void startLine(String whole) throws BadMessage {
        String[] parts = whole.split(" ", 3);
        boolean fits = requests ? parts.length == 3 && parts[2].matches("HTTP/1\\.[01]") && !parts[1].isEmpty()
                : parts.length >= 2 && parts[0].matches("HTTP/1\\.[01]") && parts[1].matches("[1-5][0-9][0-9]");
        if (!fits) {
            throw new BadMessage(400, "the first line is no HTTP/1.1");
        }
        method = requests ? parts[0] : "";
        target = requests ? parts[1] : "";
        status = requests ? 0 : Integer.parseInt(parts[1]);
    }

    private void field(String whole) throws BadMessage {
        int colon = whole.indexOf(':');
        String name = colon <= 0 ? "" : whole.substring(0, colon).toLowerCase(Locale.ROOT);
        if (!name.matches("[!#$%&'*+.^_`|~0-9a-z-]+")) {
            throw new BadMessage(400, "a field name with a forbidden character");
        }
        String value = whole.substring(colon + 1).strip();
        if (name.equals("content-length") && headers.containsKey(name) && !headers.get(name).equals(value)) {
            throw new BadMessage(400, "two values of content-length");
        }
        headers.merge(name, value, (a, b) -> name.equals("content-length") ? a : a + ", " + b);
    }

    private boolean headDone() throws BadMessage {
        String length = headers.get("content-length");
        String coding = headers.get("transfer-encoding");
        if (coding != null) {
            if (length != null || !coding.equalsIgnoreCase("chunked")) {
                throw new BadMessage(400, "transfer-encoding has to be chunked, without content-length");
            }
            at = At.CHUNK_SIZE;
            return false;
        }
        if (length != null) {
            if (!length.matches("[0-9]{1,9}")) {
                throw new BadMessage(400, "content-length is no number");
            }
            left = Integer.parseInt(length);
            grow(left);
            at = At.BODY;
            return left == 0;
        }
        boolean none = requests || status == 204 || status == 304 || status < 200;
        at = none ? At.BODY : At.TO_CLOSE;
        return none;
    }

    private void grow(int more) throws BadMessage {
        if (body.size() + more > maxBody) {
            throw new BadMessage(413, "content of more than " + maxBody + " bytes");
        }
    }

    private HttpMessage done() {
        HttpMessage message = new HttpMessage(method, target, status, headers, body.toByteArray());
        at = At.START;
        head = 0;
        headers = new LinkedHashMap<>();
        body.reset();
        return message;
    }
}
