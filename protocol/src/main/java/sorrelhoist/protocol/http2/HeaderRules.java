package sorrelhoist.protocol.http2;

import sorrelhoist.protocol.hpack.HeaderField;
import sorrelhoist.protocol.hpack.Headers;

/** What makes a header list malformed (RFC 9113 sections 8.1.1, 8.2 and 8.3). */
final class HeaderRules {
    private HeaderRules() {}

    /** {@return what is wrong with a request's list, or null} */
    static String request(Headers headers) {
        int method = 0;
        int scheme = 0;
        int path = 0;
        boolean regular = false;
        for (HeaderField f : headers) {
            if (f.name().startsWith(":")) {
                if (regular) {
                    return "a pseudo-header after a regular one";
                }
                switch (f.name()) {
                    case ":method" -> method++;
                    case ":scheme" -> scheme++;
                    case ":path" -> path += f.value().isEmpty() ? 2 : 1;
                    case ":authority" -> {}
                    default -> {
                        return "unknown pseudo-header";
                    }
                }
            } else {
                regular = true;
            }
        }
        return method != 1 || scheme != 1 || path != 1
                ? "needs one each of :method, :scheme and :path"
                : regular(headers);
    }

    /** {@return what is wrong with a response's list, or null} */
    static String response(Headers headers) {
        return headers.size() == 0 || !headers.fields().get(0).name().equals(":status")
                ? "needs :status first"
                : regular(headers);
    }

    /** {@return what is wrong with trailers, or null} */
    static String trailers(Headers headers) {
        for (HeaderField f : headers) {
            if (f.name().startsWith(":")) {
                return "a pseudo-header in trailers";
            }
        }
        return regular(headers);
    }

    private static String regular(Headers headers) {
        for (HeaderField f : headers) {
            String name = f.name();
            for (int i = 0; i < name.length(); i++) {
                char c = name.charAt(i);
                if (c <= ' ' || c >= 127 || c >= 'A' && c <= 'Z' || c == ':' && i > 0) {
                    return "a field name with a forbidden character";
                }
            }
            for (int i = 0; i < f.value().length(); i++) {
                char c = f.value().charAt(i);
                if (c == 0 || c == '\n' || c == '\r') {
                    return "a field value with a forbidden character";
                }
            }
            if (name.isEmpty()
                    || name.equals("connection")
                    || name.equals("transfer-encoding")
                    || name.equals("upgrade")
                    || name.equals("keep-alive")
                    || name.equals("proxy-connection")
                    || name.equals("te") && !f.value().equals("trailers")) {
                return "a field that HTTP/2 has no use for: " + name;
            }
        }
        return null;
    }
}
