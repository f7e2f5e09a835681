package sorrelhoist.protocol.http1;

import io.netty.buffer.ByteBuf;

/**
 * Reads one message's content part by part as its bytes come (RFC 9112, sections 6 and 7); keeps
 * none of it.
 */
public final class HttpBodyDecoder {
    private enum At {
        LENGTH,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS,
        TO_CLOSE,
        ENDED
    }

    private static final int MAX_LINES = 16 << 10;
    private static final int MAX_DIGITS = 7; // of a chunk's size: 256 MiB
    private final long declaredLength;
    private final LineReader lines =
            new LineReader(
                    MAX_LINES, "more than " + MAX_LINES + " bytes in place of a chunk", this::look);
    private At at;
    private long left;

    private HttpBodyDecoder(At at, long length) {
        this.at = at;
        this.declaredLength = length;
        this.left = Math.max(0, length);
    }

    /**
     * Finds out how a message is framed.
     *
     * @param head the message's head
     * @throws HttpDecodeException where its framing could be read in two ways, or not at all
     */
    public static HttpBodyDecoder forHead(HttpHead head) throws HttpDecodeException {
        String length = head.header("content-length");
        String coding = head.header("transfer-encoding");
        if (coding != null) {
            if (length != null || !coding.equalsIgnoreCase("chunked")) {
                throw new HttpDecodeException(
                        400, "transfer-encoding has to be chunked, without content-length");
            }
            return new HttpBodyDecoder(At.CHUNK_SIZE, -1);
        }
        if (length != null) {
            if (!length.matches("[0-9]{1,9}")) {
                throw new HttpDecodeException(400, "content-length is no number");
            }
            long size = Long.parseLong(length);
            return new HttpBodyDecoder(size == 0 ? At.ENDED : At.LENGTH, size);
        }
        int status = head.status();
        boolean none = status == 0 || status == 204 || status == 304 || status < 200;
        return new HttpBodyDecoder(none ? At.ENDED : At.TO_CLOSE, none ? 0 : -1);
    }

    /** {@return bytes as declared, or -1 where the message does not say} */
    public long declaredLength() {
        return declaredLength;
    }

    /** {@return whether all has come} */
    public boolean isComplete() {
        return at == At.ENDED;
    }

    /** {@return whether the end of the connection is the end of the content} */
    public boolean endsWithConnection() {
        return at == At.TO_CLOSE;
    }

    /**
     * Reads on.
     *
     * @param in bytes as they came
     * @return the next part, as a slice that lives as long as {@code in}; null where more bytes are
     *     needed or all ended
     */
    public ByteBuf next(ByteBuf in) throws HttpDecodeException {
        while (at != At.ENDED && in.isReadable()) {
            if (at == At.LENGTH || at == At.CHUNK || at == At.TO_CLOSE) {
                int part =
                        (int)
                                Math.min(
                                        at == At.TO_CLOSE ? Integer.MAX_VALUE : left,
                                        in.readableBytes());
                left -= part;
                if (left == 0 && at != At.TO_CLOSE) {
                    at = at == At.CHUNK ? At.CHUNK_END : At.ENDED;
                }
                return in.readSlice(part);
            }
            String whole = lines.next(in);
            if (whole != null) {
                take(whole);
            }
        }
        return null;
    }

    private void look(StringBuilder line) throws HttpDecodeException {
        char last = line.charAt(line.length() - 1);
        if (at == At.CHUNK_SIZE && !maySize(line) || at == At.CHUNK_END && last != '\r') {
            throw new HttpDecodeException(400, "a chunk's size is no number, or does not fit");
        }
    }

    /**
     * {@return whether the part of a size that has come can become one: digits, then white space or
     * an extension}
     */
    private static boolean maySize(StringBuilder line) {
        int digits = 0;
        while (digits < line.length() && hex(line.charAt(digits))) {
            digits++;
        }
        return digits > 0
                && digits <= MAX_DIGITS
                && (digits == line.length() || " \t;\r".indexOf(line.charAt(digits)) >= 0);
    }

    private static boolean hex(char c) {
        return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F';
    }

    private void take(String whole) throws HttpDecodeException {
        if (at == At.CHUNK_SIZE) {
            left = size(whole);
            at = left == 0 ? At.TRAILERS : At.CHUNK;
            lines.more();
        } else if (at == At.CHUNK_END) {
            if (!whole.isEmpty()) {
                throw new HttpDecodeException(400, "a chunk is longer than it said");
            }
            at = At.CHUNK_SIZE;
        } else if (whole.isEmpty()) {
            at = At.ENDED;
        }
    }

    private static long size(String whole) throws HttpDecodeException {
        int semicolon = whole.indexOf(';');
        String size = (semicolon < 0 ? whole : whole.substring(0, semicolon)).strip();
        if (size.isEmpty()
                || size.length() > MAX_DIGITS
                || !size.chars().allMatch(c -> hex((char) c))) {
            throw new HttpDecodeException(400, "a chunk's size is no number");
        }
        return Long.parseLong(size, 16);
    }
}
