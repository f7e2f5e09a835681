package sorrelhoist.core.statetransfer;

import java.util.ArrayList;
import java.util.List;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.Knowledge.PrefixEntry;

/**
 * A donor's side of one transfer: cuts a snapshot into chunks. The first carries health and
 * regressions, all of them keys that the receiving router lacks, the newest first, so that a
 * transfer that breaks off has given the best. It is bounded, and made from a copy, so that the
 * donor goes on learning meanwhile.
 */
public final class SnapshotTransfer {
    /** Bytes of keys in one chunk. */
    public static final int MAX_CHUNK_KEY_BYTES = 32 << 10;

    private static final int KEYS_PER_CHUNK = 400;

    private final Knowledge known;
    private final List<PrefixEntry> missingKeys = new ArrayList<>();
    private final int maxBytes;
    private final long createdAt;
    private int nextKey;
    private int sentBytes;
    private int sentChunks;

    /**
     * Creates a transfer.
     *
     * @param known what the donor knows
     * @param digest of the keys that the receiving router has
     * @param maxBytes that the whole transfer may take
     * @param now microseconds
     */
    public SnapshotTransfer(Knowledge known, KeyDigest digest, int maxBytes, long now) {
        this.known = known;
        this.maxBytes = maxBytes;
        this.createdAt = now;
        for (int i = known.keys().size() - 1; i >= 0; i--) {
            if (!digest.contains(known.keys().get(i).name())) {
                missingKeys.add(known.keys().get(i));
            }
        }
    }

    /**
     * {@return the next chunk, its ages as of now; null at the end}
     *
     * @param now microseconds
     */
    public byte[] nextChunk(long now) {
        boolean first = sentChunks == 0;
        if (!first && nextKey >= missingKeys.size() || sentBytes >= maxBytes) {
            return null;
        }
        List<PrefixEntry> keys = nextKeys(Math.max(0, now - createdAt));
        Knowledge content =
                first
                        ? new Knowledge(
                                keys,
                                known.servers(),
                                known.prefillTimes(),
                                known.firstTokenTimes())
                        : new Knowledge(keys, List.of(), List.of(), KnowledgeCodec.NO_SUMS);
        byte[] chunk = KnowledgeCodec.encode(content, MAX_CHUNK_KEY_BYTES);
        sentChunks++;
        sentBytes += chunk.length;
        return chunk;
    }

    /** {@return the next keys, so much older than at the start, the least recently used first} */
    private List<PrefixEntry> nextKeys(long elapsedMicros) {
        List<PrefixEntry> keys = new ArrayList<>();
        int end = Math.min(missingKeys.size(), nextKey + KEYS_PER_CHUNK);
        for (; nextKey < end; nextKey++) {
            PrefixEntry key = missingKeys.get(nextKey);
            long ageMicros = key.ageMicros() + elapsedMicros;
            keys.add(0, new PrefixEntry(key.name(), ageMicros, key.uses(), key.holders()));
        }
        return keys;
    }

    /** {@return how many keys there are to transfer} */
    public int keyCount() {
        return missingKeys.size();
    }
}
