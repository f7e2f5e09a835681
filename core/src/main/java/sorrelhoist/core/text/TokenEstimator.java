package sorrelhoist.core.text;

/**
 * Estimates the number of tokens of a text: one for every four bytes of UTF-8, rounded up.
 * Deadlines and costs grow with this number, so it has to be proportional rather than exact; the
 * routing policy's regressions learn the factor.
 */
public final class TokenEstimator {
    private static final int BYTES_PER_TOKEN = 4;

    private static final int FIRST_TWO_BYTE_CHAR = 0x80;
    private static final int FIRST_THREE_BYTE_CHAR = 0x800;

    private TokenEstimator() {}

    /** {@return the estimated number of tokens of a text; 0 if it is empty} */
    public static int estimate(String text) {
        int bytes = 0;
        for (int i = 0; i < text.length(); i++) {
            bytes += utf8Bytes(text.charAt(i));
        }
        return (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    }

    private static int utf8Bytes(char c) {
        if (c < FIRST_TWO_BYTE_CHAR) {
            return 1;
        }
        // A surrogate pair encodes one character of four bytes.
        return c < FIRST_THREE_BYTE_CHAR || Character.isSurrogate(c) ? 2 : 3;
    }
}
