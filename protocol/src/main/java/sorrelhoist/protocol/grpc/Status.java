package sorrelhoist.protocol.grpc;

import java.nio.charset.StandardCharsets;

/**
 * The result of a call.
 *
 * @param code the status code
 * @param message a human-readable description; may be empty
 */
public record Status(StatusCode code, String message) {
    /** The status of a successful call. */
    public static final Status OK = new Status(StatusCode.OK, "");

    /** {@return whether the call succeeded} */
    public boolean isOk() {
        return code == StatusCode.OK;
    }

    /** {@return the message encoded for the grpc-message trailer, as percent-encoded UTF-8} */
    public String encodedMessage() {
        StringBuilder encoded = new StringBuilder();
        for (byte b : message.getBytes(StandardCharsets.UTF_8)) {
            if (b >= ' ' && b <= '~' && b != '%') {
                encoded.append((char) b);
            } else {
                encoded.append('%').append(hexDigit(b >> 4)).append(hexDigit(b));
            }
        }
        return encoded.toString();
    }

    private static char hexDigit(int value) {
        return Character.toUpperCase(Character.forDigit(value & 0xF, 16));
    }

    /**
     * {@return the decoded text of a grpc-message trailer; empty for null; invalid escapes are kept
     * unchanged}
     */
    public static String decodeMessage(String encoded) {
        if (encoded == null || encoded.indexOf('%') < 0) {
            return encoded == null ? "" : encoded;
        }
        byte[] decoded = new byte[encoded.length()];
        int size = 0;
        for (int i = 0; i < encoded.length(); i++) {
            int octet = escapedOctet(encoded, i);
            decoded[size++] = (byte) (octet >= 0 ? octet : encoded.charAt(i));
            i += octet >= 0 ? 2 : 0;
        }
        return new String(decoded, 0, size, StandardCharsets.UTF_8);
    }

    /** {@return the octet of the percent escape at an index, or -1 if there is no valid escape} */
    private static int escapedOctet(String encoded, int index) {
        if (encoded.charAt(index) != '%' || index + 2 >= encoded.length()) {
            return -1;
        }
        int high = Character.digit(encoded.charAt(index + 1), 16);
        int low = Character.digit(encoded.charAt(index + 2), 16);
        return high < 0 || low < 0 ? -1 : high << 4 | low;
    }
}
