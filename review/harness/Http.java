import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes the few forms of HTTP/1.1 that the stand-ins need. */
final class Http {
    private Http() {}

    /** The first line and the fields of one message; names are in lower case. */
    record Head(String start, Map<String, String> fields) {
        String method() {
            return start.split(" ", 3)[0];
        }

        String target() {
            return start.split(" ", 3)[1];
        }

        int status() {
            return Integer.parseInt(start.split(" ", 3)[1]);
        }

        boolean closes() {
            return fields.getOrDefault("connection", "").toLowerCase(Locale.ROOT).contains("close");
        }
    }

    /** {@return the next line without its end, or null at the end of the stream} */
    static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); ; c = in.read()) {
            if (c < 0) {
                if (line.length() == 0) {
                    return null;
                }
                throw new EOFException("half a line");
            }
            if (c == '\n') {
                int end = line.length();
                return line.substring(0, end > 0 && line.charAt(end - 1) == '\r' ? end - 1 : end);
            }
            line.append((char) c);
        }
    }

    /** {@return the next head, or null at the end of the stream} */
    static Head head(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (String line = line(in); ; line = line(in)) {
            if (line == null) {
                throw new EOFException("half a head");
            }
            if (line.isEmpty()) {
                return new Head(start, fields);
            }
            int colon = line.indexOf(':');
            fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
    }

    /** Reads the content of a message that declares its length. */
    static byte[] content(InputStream in, Head head) throws IOException {
        int length = Integer.parseInt(head.fields().getOrDefault("content-length", "0"));
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("half a body");
        }
        return bytes;
    }

    /** {@return the next chunk of a chunked body; empty for the last one} */
    static byte[] chunk(InputStream in) throws IOException {
        String size = line(in);
        if (size == null) {
            throw new EOFException("no last chunk");
        }
        int length = Integer.parseInt(size.strip(), 16);
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length || line(in) == null) {
            throw new EOFException("half a chunk");
        }
        return bytes;
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static byte[] chunked(String text) {
        return ascii(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
}
