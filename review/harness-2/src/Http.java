import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** The little HTTP/1.1 that the stand-ins need. */
final class Http {
    private Http() {}

    /** The head of a message: its first line and its fields by lower-case name. */
    static final class Head {
        String firstLine;
        final Map<String, String> fields = new LinkedHashMap<>();

        String field(String name) {
            return fields.get(name);
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }
    }

    /** Reads a head; returns null at the end of input between two messages. */
    static Head readHead(InputStream in) throws IOException {
        String line = readLine(in, true);
        if (line == null) {
            return null;
        }
        Head head = new Head();
        head.firstLine = line;
        for (line = readLine(in, false); !line.isEmpty(); line = readLine(in, false)) {
            int colon = line.indexOf(':');
            head.fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return head;
    }

    static String readLine(InputStream in, boolean mayEnd) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int c = in.read();
            if (c < 0) {
                if (mayEnd && line.length() == 0) {
                    return null;
                }
                throw new EOFException("the input ended within a line");
            }
            if (c == '\n') {
                int end = line.length();
                return end > 0 && line.charAt(end - 1) == '\r'
                        ? line.substring(0, end - 1)
                        : line.toString();
            }
            line.append((char) c);
        }
    }

    static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the input ended within the content");
        }
        return bytes;
    }

    /** Reads the content that a head declares by its length; nothing if it declares none. */
    static byte[] readContent(InputStream in, Head head) throws IOException {
        String length = head.field("content-length");
        if (length != null) {
            return readFully(in, Integer.parseInt(length));
        }
        if ("chunked".equalsIgnoreCase(head.field("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
                all.writeBytes(chunk);
            }
            return all.toByteArray();
        }
        return new byte[0];
    }

    /** Reads one chunk; an empty one is the last. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in, false);
        int semicolon = size.indexOf(';');
        int length = Integer.parseInt(semicolon < 0 ? size : size.substring(0, semicolon), 16);
        byte[] chunk = readFully(in, length);
        readLine(in, false);
        return chunk;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static byte[] chunk(String text) {
        return bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
}
