package sorrelhoist.core.statetransfer;

import java.util.ArrayList;
import java.util.List;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.Knowledge.PrefixEntry;

/**
 * The donor's side of one transfer: splits a snapshot into chunks. The first chunk contains the
 * health of all engines and all regressions; every chunk contains keys that the receiving router
 * lacks. The most recently used keys are sent first, so that a transfer that breaks off has
 * delivered the most valuable ones. A transfer is limited in size and works on a copy, so that the
 * donor can continue to learn meanwhile.
 */
public final class SnapshotTransfer {
    /**
     * Maximum bytes of keys in one chunk. If the keys of a chunk need more, the least valuable ones
     * are not transferred.
     */
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
     * @param known the donor's knowledge
     * @param digest digest of the keys that the receiving router has
     * @param maxBytes number of sent bytes at which the transfer ends
     * @param now current time, in microseconds
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
     * {@return the next chunk, with ages as of {@code now}; null at the end}
     *
     * @param now current time, in microseconds
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

    /**
     * {@return the next keys, the least recently used first, with the elapsed time added to their
     * ages}
     */
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

    /** {@return the number of keys that the receiving router lacks} */
    public int keyCount() {
        return missingKeys.size();
    }
}
