package sorrelhoist.protocol.grpc;

import java.nio.charset.StandardCharsets;

/**
 * How a call ended.
 *
 * @param code the code
 * @param message for people; may be empty
 */
public record Status(StatusCode code, String message) {
    /** All went well. */
    public static final Status OK = new Status(StatusCode.OK, "");

    /** {@return whether all went well} */
    public boolean isOk() {
        return code == StatusCode.OK;
    }

    /** {@return the message as the grpc-message trailer carries it: percent-encoded UTF-8} */
    public String encodedMessage() {
        StringBuilder out = new StringBuilder();
        for (byte b : message.getBytes(StandardCharsets.UTF_8)) {
            if (b >= ' ' && b <= '~' && b != '%') {
                out.append((char) b);
            } else {
                out.append('%')
                        .append(Character.toUpperCase(Character.forDigit(b >> 4 & 0xF, 16)))
                        .append(Character.toUpperCase(Character.forDigit(b & 0xF, 16)));
            }
        }
        return out.toString();
    }

    /** {@return the text of a grpc-message trailer; what is wrongly encoded stays as it is} */
    public static String decodeMessage(String encoded) {
        if (encoded == null || encoded.indexOf('%') < 0) {
            return encoded == null ? "" : encoded;
        }
        byte[] out = new byte[encoded.length()];
        int size = 0;
        for (int i = 0; i < encoded.length(); i++) {
            char c = encoded.charAt(i);
            int high =
                    c == '%' && i + 2 < encoded.length()
                            ? Character.digit(encoded.charAt(i + 1), 16)
                            : -1;
            int low = high >= 0 ? Character.digit(encoded.charAt(i + 2), 16) : -1;
            out[size++] = (byte) (low >= 0 ? high << 4 | low : c);
            i += low >= 0 ? 2 : 0;
        }
        return new String(out, 0, size, StandardCharsets.UTF_8);
    }
}
