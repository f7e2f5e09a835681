package sorrelhoist.protocol.http1;

import io.netty.buffer.ByteBuf;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Parses heads of HTTP/1.1 messages (RFC 9112, sections 2 to 5) however their bytes are cut. What
 * two readers could take for two different things is refused: bare line feeds, white space before a
 * colon, content-length twice.
 */
public final class HttpHeadDecoder {
    private static final String RESPONSE = "HTTP/1.";
    private static final int MAX_START_LINES =
            4; // empty lines before a message (RFC 9112, section 2.2)
    private final boolean requests;
    private final LineReader lines;
    private int empty;
    private boolean started;
    private String method = "";
    private String target = "";
    private int status;
    private Map<String, String> headers = new LinkedHashMap<>();

    /**
     * Makes a parser.
     *
     * @param requests whether requests are expected, or responses
     * @param maxHead bytes of one head at most
     */
    public HttpHeadDecoder(boolean requests, int maxHead) {
        this.requests = requests;
        this.lines =
                new LineReader(maxHead, "a head of more than " + maxHead + " bytes", this::look);
    }

    /** {@return whether bytes of a head have come that is not whole yet} */
    public boolean hasPartialHead() {
        return lines.begun();
    }

    /** {@return the next whole head, or null where more bytes are needed} */
    public HttpHead next(ByteBuf in) throws HttpDecodeException {
        for (String whole = lines.next(in); whole != null; whole = lines.next(in)) {
            if (!started) {
                if (!whole.isEmpty()) {
                    startLine(whole);
                    started = true;
                } else if (++empty > MAX_START_LINES) {
                    throw new HttpDecodeException(400, "empty lines in place of a message");
                }
            } else if (!whole.isEmpty()) {
                field(whole);
            } else {
                HttpHead head = new HttpHead(method, target, status, headers);
                headers = new LinkedHashMap<>();
                lines.more();
                empty = 0;
                started = false;
                return head;
            }
        }
        return null;
    }

    private void look(StringBuilder line) throws HttpDecodeException {
        if (!started && !mayBegin(line)) {
            throw new HttpDecodeException(400, "the first line is no HTTP/1.1");
        }
    }

    /** {@return whether the part of a first line that has come can become one} */
    private boolean mayBegin(StringBuilder line) {
        int last = line.length() - 1;
        if (line.charAt(0) == '\r') {
            return last == 0;
        }
        return requests
                ? last > 0 || isToken(line.toString())
                : last >= RESPONSE.length() || line.charAt(last) == RESPONSE.charAt(last);
    }

    private void startLine(String whole) throws HttpDecodeException {
        String[] parts = whole.split(" ", 3);
        boolean fits =
                requests
                        ? parts.length == 3
                                && version(parts[2])
                                && !parts[1].isEmpty()
                                && !parts[0].isEmpty()
                        : parts.length >= 2
                                && version(parts[0])
                                && parts[1].matches("[1-5][0-9][0-9]");
        if (!fits) {
            throw new HttpDecodeException(400, "the first line is no HTTP/1.1");
        }
        method = requests ? parts[0] : "";
        target = requests ? parts[1] : "";
        status = requests ? 0 : Integer.parseInt(parts[1]);
    }

    private static boolean version(String text) {
        return text.equals("HTTP/1.1") || text.equals("HTTP/1.0");
    }

    private void field(String whole) throws HttpDecodeException {
        int colon = whole.indexOf(':');
        String name = colon <= 0 ? "" : whole.substring(0, colon).toLowerCase(Locale.ROOT);
        if (!isToken(name)) {
            throw new HttpDecodeException(400, "a field name with a forbidden character");
        }
        String value = whole.substring(colon + 1).strip();
        if (name.equals("content-length")
                && headers.containsKey(name)
                && !headers.get(name).equals(value)) {
            throw new HttpDecodeException(400, "two values of content-length");
        }
        headers.merge(name, value, (a, b) -> name.equals("content-length") ? a : a + ", " + b);
    }

    /** {@return whether it is a token (RFC 9110, section 5.6.2)} */
    static boolean isToken(String name) {
        for (int i = 0; i < name.length(); i++) {
            char c = name.charAt(i);
            boolean fits =
                    c >= 'a' && c <= 'z'
                            || c >= '0' && c <= '9'
                            || c == '-'
                            || c >= 'A' && c <= 'Z'
                            || "!#$%&'*+.^_`|~".indexOf(c) >= 0;
            if (!fits) {
                return false;
            }
        }
        return !name.isEmpty();
    }
}
