package sorrelhoist.protocol.http1;

import io.netty.buffer.ByteBuf;
import java.util.Locale;

/**
 * Decodes the heads of HTTP/1.1 messages (RFC 9112, sections 2 to 5) incrementally. Rejects input
 * that two decoders could interpret differently: bare line feeds, white space before a colon,
 * conflicting values of content-length.
 */
public final class HttpHeadDecoder {
    private static final String HTTP_1 = "HTTP/1.";
    private static final String CONTENT_LENGTH = "content-length";

    /** Maximum number of empty lines before a message (RFC 9112, section 2.2). */
    private static final int MAX_EMPTY_LINES = 4;

    private final boolean decodesRequests;
    private final LineDecoder lines;
    private int emptyLines;
    private boolean startLineDecoded;
    private String method = "";
    private String target = "";
    private int status;

    /** The value of content-length; null until the field has been decoded. */
    private String contentLength;

    private final HttpFields.Builder fields = new HttpFields.Builder();

    /**
     * Creates a decoder at the start of a message.
     *
     * @param requests true to decode requests, false to decode responses
     * @param maxHeadBytes maximum size of one head, in bytes
     */
    public HttpHeadDecoder(boolean requests, int maxHeadBytes) {
        this.decodesRequests = requests;
        this.lines =
                new LineDecoder(
                        maxHeadBytes,
                        "a head of more than " + maxHeadBytes + " bytes",
                        this::checkPartialLine);
    }

    /** {@return whether part of an incomplete head has been received} */
    public boolean hasPartialHead() {
        return lines.hasReceivedBytes();
    }

    /** {@return the memory that is held for an incomplete head, in bytes} */
    public int heldBytes() {
        return lines.heldBytes() + method.length() + target.length() + fields.heldBytes();
    }

    /** Drops an incomplete head. */
    public void discard() {
        lines.discard();
        reset();
    }

    /**
     * Decodes the next head.
     *
     * @param in the received bytes, which are read up to the end of a head
     * @return the next complete head, or null if more bytes are needed
     * @throws HttpDecodeException if the head is invalid or exceeds the limit
     */
    public HttpHead next(ByteBuf in) throws HttpDecodeException {
        for (String line = nextLine(in); line != null; line = nextLine(in)) {
            if (!startLineDecoded) {
                decodeStartLineOrSkip(line);
            } else if (!line.isEmpty()) {
                decodeField(line);
            } else {
                return completeHead();
            }
        }
        return null;
    }

    private String nextLine(ByteBuf in) throws HttpDecodeException {
        return lines.next(in, !startLineDecoded);
    }

    private HttpHead completeHead() {
        HttpHead head = new HttpHead(method, target, status, fields.build());
        reset();
        return head;
    }

    private void reset() {
        lines.resetLimit();
        emptyLines = 0;
        startLineDecoded = false;
        method = "";
        target = "";
        status = 0;
        contentLength = null;
        fields.clear();
    }

    private void checkPartialLine(StringBuilder line, int length) throws HttpDecodeException {
        if (!mayBecomeStartLine(line, length)) {
            throw invalidStartLine();
        }
    }

    private boolean mayBecomeStartLine(StringBuilder line, int length) {
        int last = length - 1;
        if (line.charAt(0) == '\r') {
            return last == 0;
        }
        return decodesRequests
                ? last > 0 || isToken(line.substring(0, 1))
                : last >= HTTP_1.length() || line.charAt(last) == HTTP_1.charAt(last);
    }

    private void decodeStartLineOrSkip(String line) throws HttpDecodeException {
        if (!line.isEmpty()) {
            decodeStartLine(line);
            startLineDecoded = true;
        } else if (++emptyLines > MAX_EMPTY_LINES) {
            throw new HttpDecodeException("empty lines in place of a message");
        }
    }

    private void decodeStartLine(String line) throws HttpDecodeException {
        String[] parts = line.split(" ", 3);
        if (decodesRequests ? !isRequestLine(parts) : !isStatusLine(parts)) {
            throw invalidStartLine();
        }
        method = decodesRequests ? parts[0] : "";
        target = decodesRequests ? parts[1] : "";
        status = decodesRequests ? 0 : Integer.parseInt(parts[1]);
    }

    private static boolean isRequestLine(String[] parts) {
        return parts.length == 3
                && isVersion(parts[2])
                && !parts[1].isEmpty()
                && !parts[0].isEmpty();
    }

    private static boolean isStatusLine(String[] parts) {
        return parts.length >= 2 && isVersion(parts[0]) && parts[1].matches("[1-5][0-9][0-9]");
    }

    private static boolean isVersion(String text) {
        return text.equals("HTTP/1.1") || text.equals("HTTP/1.0");
    }

    private static HttpDecodeException invalidStartLine() {
        return new HttpDecodeException("the first line is no HTTP/1.1");
    }

    private void decodeField(String line) throws HttpDecodeException {
        int colon = line.indexOf(':');
        String name = colon <= 0 ? "" : line.substring(0, colon).toLowerCase(Locale.ROOT);
        if (!isToken(name)) {
            throw new HttpDecodeException("a field name with a forbidden character");
        }
        String value = line.substring(colon + 1).strip();
        if (!name.equals(CONTENT_LENGTH)) {
            fields.add(name, value);
        } else if (contentLength == null) {
            contentLength = value;
            fields.add(name, value);
        } else if (!contentLength.equals(value)) {
            throw new HttpDecodeException("two values of content-length");
        }
    }

    /** {@return whether a name is a token (RFC 9110, section 5.6.2)} */
    static boolean isToken(String name) {
        for (int i = 0; i < name.length(); i++) {
            char c = name.charAt(i);
            boolean allowed =
                    c >= 'a' && c <= 'z'
                            || c >= '0' && c <= '9'
                            || c == '-'
                            || c >= 'A' && c <= 'Z'
                            || "!#$%&'*+.^_`|~".indexOf(c) >= 0;
            if (!allowed) {
                return false;
            }
        }
        return !name.isEmpty();
    }
}
