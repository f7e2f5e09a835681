package sorrelhoist.core.statetransfer;

import java.util.ArrayList;
import java.util.List;
import sorrelhoist.routing.Knowledge;

/**
 * What one teacher tells one learner, cut into chunks: health and lines with the first, then keys
 * that the learner lacks, the newest first, so that an exchange that breaks has given the best.
 * Bounded in all; what it is made from is a copy, so a lesson does not keep its teacher from
 * learning on.
 */
public final class SnapshotTransfer {
    /** Bytes of keys in one chunk. */
    public static final int MAX_CHUNK_KEY_BYTES = 32 << 10;

    private static final int KEYS_A_CHUNK = 400;
    private final Knowledge known;
    private final List<Knowledge.PrefixEntry> wanted = new ArrayList<>();
    private final int maxBytes;
    private final long madeAt;
    private int at;
    private int sent;
    private int index;

    /**
     * Makes a lesson.
     *
     * @param known what the teacher knows
     * @param has what the learner has
     * @param maxBytes that the whole lesson may take
     * @param now microseconds
     */
    public SnapshotTransfer(Knowledge known, KeyDigest has, int maxBytes, long now) {
        this.known = known;
        this.maxBytes = maxBytes;
        this.madeAt = now;
        for (int i = known.keys().size() - 1; i >= 0; i--) {
            if (!has.contains(known.keys().get(i).name())) {
                wanted.add(known.keys().get(i));
            }
        }
    }

    /** {@return the next chunk, its ages as of now; null at the end} */
    public byte[] nextChunk(long now) {
        boolean first = index == 0;
        if (!first && at >= wanted.size() || sent >= maxBytes) {
            return null;
        }
        long older = Math.max(0, now - madeAt);
        List<Knowledge.PrefixEntry> some = new ArrayList<>();
        for (int end = Math.min(wanted.size(), at + KEYS_A_CHUNK); at < end; at++) {
            Knowledge.PrefixEntry k = wanted.get(at);
            some.add(
                    0,
                    new Knowledge.PrefixEntry(
                            k.name(), k.ageMicros() + older, k.uses(), k.holders()));
        }
        byte[] bytes =
                KnowledgeCodec.encode(
                        new Knowledge(
                                some,
                                first ? known.servers() : List.of(),
                                first ? known.prefillTimes() : List.of(),
                                first
                                        ? known.firstTokenTimes()
                                        : new Knowledge.RegressionSums(0, 0, 0, 0, 0)),
                        MAX_CHUNK_KEY_BYTES);
        index++;
        sent += bytes.length;
        return bytes;
    }

    /** {@return how many keys there are to tell} */
    public int keyCount() {
        return wanted.size();
    }
}
