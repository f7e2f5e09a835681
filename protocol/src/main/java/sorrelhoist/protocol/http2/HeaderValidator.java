package sorrelhoist.protocol.http2;

import java.util.Set;
import sorrelhoist.protocol.hpack.HeaderField;
import sorrelhoist.protocol.hpack.Headers;

/** Validates header lists (RFC 9113 sections 8.1.1, 8.2 and 8.3). */
final class HeaderValidator {
    private static final Set<String> CONNECTION_SPECIFIC =
            Set.of("connection", "transfer-encoding", "upgrade", "keep-alive", "proxy-connection");

    private HeaderValidator() {}

    /** {@return a description of what is malformed in a request's header list, or null} */
    static String validateRequest(Headers headers) {
        int methods = 0;
        int schemes = 0;
        int paths = 0;
        boolean regularSeen = false;
        for (HeaderField field : headers) {
            if (!isPseudoHeader(field)) {
                regularSeen = true;
                continue;
            }
            if (regularSeen) {
                return "a pseudo-header after a regular one";
            }
            switch (field.name()) {
                case ":method" -> methods++;
                case ":scheme" -> schemes++;
                // An empty path is rejected in the same way as a repeated one.
                case ":path" -> paths += field.value().isEmpty() ? 2 : 1;
                case ":authority" -> {
                    // :authority is optional.
                }
                default -> {
                    return "unknown pseudo-header";
                }
            }
        }
        return methods != 1 || schemes != 1 || paths != 1
                ? "needs one each of :method, :scheme and :path"
                : validateRegular(headers);
    }

    /** {@return a description of what is malformed in a response's header list, or null} */
    static String validateResponse(Headers headers) {
        return headers.size() == 0 || !headers.fields().get(0).name().equals(":status")
                ? "needs :status first"
                : validateRegular(headers);
    }

    /** {@return a description of what is malformed in trailers, or null} */
    static String validateTrailers(Headers headers) {
        for (HeaderField field : headers) {
            if (isPseudoHeader(field)) {
                return "a pseudo-header in trailers";
            }
        }
        return validateRegular(headers);
    }

    private static boolean isPseudoHeader(HeaderField field) {
        return field.name().startsWith(":");
    }

    private static String validateRegular(Headers headers) {
        for (HeaderField field : headers) {
            String name = field.name();
            if (!isNameAllowed(name)) {
                return "a field name with a forbidden character";
            }
            if (!isValueAllowed(field.value())) {
                return "a field value with a forbidden character";
            }
            boolean otherEncoding = name.equals("te") && !field.value().equals("trailers");
            if (name.isEmpty() || CONNECTION_SPECIFIC.contains(name) || otherEncoding) {
                return "a field that HTTP/2 has no use for: " + name;
            }
        }
        return null;
    }

    private static boolean isNameAllowed(String name) {
        for (int i = 0; i < name.length(); i++) {
            char c = name.charAt(i);
            if (c <= ' ' || c >= 127 || c >= 'A' && c <= 'Z' || c == ':' && i > 0) {
                return false;
            }
        }
        return true;
    }

    private static boolean isValueAllowed(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c == 0 || c == '\n' || c == '\r') {
                return false;
            }
        }
        return true;
    }
}
