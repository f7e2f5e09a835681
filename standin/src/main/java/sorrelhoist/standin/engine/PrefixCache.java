package sorrelhoist.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.SplittableRandom;

/**
 * The prompt prefixes that an engine has cached: blocks of sixteen tokens, each identified by a
 * hash of the prompt up to its end, the least recently used evicted first.
 */
final class PrefixCache {
    private static final int BYTES_PER_TOKEN = 4;
    private static final int BLOCK_TOKENS = 16;
    private static final int BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN;
    private static final long HASH_SEED = 1125899906842597L;
    private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(64, 0.75f, true);
    private final long maxBlocks;

    /**
     * Creates an empty cache.
     *
     * @param maxTokens its capacity, in tokens
     */
    PrefixCache(long maxTokens) {
        this.maxBlocks = maxTokens / BLOCK_TOKENS;
    }

    /** {@return how many tokens at the beginning of this prompt are cached} */
    int match(String prompt) {
        int matched = 0;
        for (long hash : blockHashes(prompt)) {
            if (blocks.get(hash) == null) {
                break;
            }
            matched += BLOCK_TOKENS;
        }
        return matched;
    }

    void add(String prompt) {
        for (long hash : blockHashes(prompt)) {
            blocks.put(hash, true);
        }
        while (blocks.size() > maxBlocks) {
            blocks.remove(blocks.keySet().iterator().next());
        }
    }

    /** Evicts about this share of all blocks, chosen at random. */
    void evict(double share, SplittableRandom random) {
        blocks.keySet().removeIf(block -> random.nextDouble() < share);
    }

    private static long[] blockHashes(String prompt) {
        byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
        long[] hashes = new long[bytes.length / BLOCK_BYTES];
        long hash = HASH_SEED;
        for (int i = 0; i < hashes.length * BLOCK_BYTES; i++) {
            hash = 31 * hash + bytes[i];
            if (i % BLOCK_BYTES == BLOCK_BYTES - 1) {
                hashes[i / BLOCK_BYTES] = hash;
            }
        }
        return hashes;
    }
}
