package sorrelhoist.core.statetransfer;

import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.Knowledge.RegressionSums;

/**
 * The format of a snapshot: a magic byte and a version, followed by length-prefixed sections. A
 * reader skips sections that it does not know, so neighbouring versions can read each other's
 * snapshots.
 */
public final class KnowledgeCodec {
    /** Thrown if bytes are damaged or are not a snapshot; the message says what was found. */
    public static final class CorruptKnowledgeException extends Exception {
        private static final long serialVersionUID = 1;

        // No stack trace: damaged input is expected, and the message is sufficient.
        CorruptKnowledgeException(String message) {
            super(message, null, false, false);
        }
    }

    static final int MAGIC = 'K';
    static final int VERSION = 1;

    static final int KEYS_SECTION = 1;
    static final int HEALTH_SECTION = 2;
    static final int REGRESSIONS_SECTION = 3;

    /** Maximum length of a name, in bytes. */
    static final int MAX_NAME_BYTES = 1024;

    /** The sums of a regression without samples. */
    static final RegressionSums NO_SUMS = new RegressionSums(0, 0, 0, 0, 0);

    private KnowledgeCodec() {}

    /**
     * Encodes knowledge.
     *
     * @param knowledge knowledge to encode; the health of engines and the regressions are always
     *     included completely, as they are few
     * @param maxKeyBytes maximum bytes of keys; the most valuable keys that fit are included, from
     *     the least to the most recently used
     * @return the encoded snapshot
     */
    public static byte[] encode(Knowledge knowledge, int maxKeyBytes) {
        return KnowledgeEncoder.encode(knowledge, maxKeyBytes);
    }

    /**
     * Decodes knowledge.
     *
     * @param bytes snapshot encoded by this version or a neighbouring one
     * @return the decoded knowledge
     * @throws CorruptKnowledgeException if the bytes are not a snapshot, are truncated, or exceed
     *     the limits of what this program encodes
     */
    public static Knowledge decode(byte[] bytes) throws CorruptKnowledgeException {
        return new KnowledgeDecoder().decode(bytes);
    }
}
