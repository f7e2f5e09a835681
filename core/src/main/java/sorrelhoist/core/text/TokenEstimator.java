package sorrelhoist.core.text;

/**
 * An estimate of how many tokens a text has: one for each four bytes of UTF-8, rounded up.
 * Deadlines and costs grow with this number, so it has to be proportional rather than exact;
 * Decide's learnt lines take up the factor.
 */
public final class TokenEstimator {
    private static final int BYTES_PER_TOKEN = 4;

    private TokenEstimator() {}

    /** {@return tokens of this text; 0 for none} */
    public static int estimate(String text) {
        int bytes = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            bytes += c < 0x80 ? 1 : c < 0x800 || Character.isSurrogate(c) ? 2 : 3;
        }
        return (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    }
}
