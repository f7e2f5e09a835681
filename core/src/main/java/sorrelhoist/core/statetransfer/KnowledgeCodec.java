package sorrelhoist.core.statetransfer;

import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.Knowledge.RegressionSums;

/**
 * The form of a snapshot: a magic byte and a version, then sections with their lengths, so that a
 * reader passes over sections that it does not know and neighbouring versions read each other.
 */
public final class KnowledgeCodec {
    /** Bytes that are no snapshot, or a damaged one; the message says what was found. */
    public static final class CorruptKnowledgeException extends Exception {
        private static final long serialVersionUID = 1;

        // No stack trace: damaged input is expected, and the message says all.
        CorruptKnowledgeException(String message) {
            super(message, null, false, false);
        }
    }

    static final int MAGIC = 'K';
    static final int VERSION = 1;

    static final int KEYS_SECTION = 1;
    static final int HEALTH_SECTION = 2;
    static final int REGRESSIONS_SECTION = 3;

    /** Bytes that a name may have. */
    static final int MAX_NAME_BYTES = 1024;

    /** Stands for a regression that has learned nothing. */
    static final RegressionSums NO_SUMS = new RegressionSums(0, 0, 0, 0, 0);

    private KnowledgeCodec() {}

    /**
     * Encodes knowledge.
     *
     * @param knowledge what to encode; health and regressions always go in, as they are few
     * @param maxKeyBytes that keys may take; the most valuable go in, the least recently used of
     *     them first
     * @return its bytes
     */
    public static byte[] encode(Knowledge knowledge, int maxKeyBytes) {
        return KnowledgeEncoder.encode(knowledge, maxKeyBytes);
    }

    /**
     * Decodes knowledge.
     *
     * @param bytes as encoded by this version or a neighbouring one
     * @return what they hold
     * @throws CorruptKnowledgeException where they are foreign, cut short, or larger than anything
     *     this program encodes
     */
    public static Knowledge decode(byte[] bytes) throws CorruptKnowledgeException {
        return new KnowledgeDecoder().decode(bytes);
    }
}
