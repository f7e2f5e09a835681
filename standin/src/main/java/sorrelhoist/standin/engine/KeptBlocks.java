package sorrelhoist.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;

/**
 * Beginnings of prompts that an engine keeps: blocks of sixteen tokens, each named by all that
 * comes before it, the least recently used dropped first. A prompt is read from where its kept
 * blocks end.
 */
final class KeptBlocks {
    static final int BYTES_PER_TOKEN = 4;
    private static final int BLOCK_TOKENS = 16;
    private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(64, 0.75f, true);
    private final long most;

    KeptBlocks(long tokens) {
        this.most = tokens / BLOCK_TOKENS;
    }

    /** {@return tokens of this prompt that are kept} */
    int match(String prompt) {
        int matched = 0;
        for (long name : names(prompt)) {
            if (blocks.get(name) == null) {
                break;
            }
            matched += BLOCK_TOKENS;
        }
        return matched;
    }

    void keep(String prompt) {
        for (long name : names(prompt)) {
            blocks.put(name, true);
        }
        while (blocks.size() > most) {
            blocks.remove(blocks.keySet().iterator().next());
        }
    }

    /** Drops this share of all blocks at once. */
    void flush(double share, java.util.SplittableRandom random) {
        blocks.keySet().removeIf(b -> random.nextDouble() < share);
    }

    private static long[] names(String prompt) {
        byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
        int size = BLOCK_TOKENS * BYTES_PER_TOKEN;
        long[] names = new long[bytes.length / size];
        long hash = 1125899906842597L;
        for (int i = 0; i < names.length * size; i++) {
            hash = 31 * hash + bytes[i];
            if (i % size == size - 1) {
                names[i / size] = hash;
            }
        }
        return names;
    }
}
