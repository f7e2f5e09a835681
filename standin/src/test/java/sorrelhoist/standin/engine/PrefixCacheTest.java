package sorrelhoist.standin.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class PrefixCacheTest {
    private static final int BLOCK_TOKENS = 16;
    private static final String BLOCK = "x".repeat(4 * BLOCK_TOKENS);
    private final PrefixCache cache = new PrefixCache(2 * BLOCK_TOKENS);

    @Test
    void wholeBlocksOfASharedPrefixMatch() {
        cache.add(BLOCK + BLOCK);
        assertEquals(2 * BLOCK_TOKENS, cache.match(BLOCK + BLOCK + "y"));
        assertEquals(BLOCK_TOKENS, cache.match(BLOCK + "y" + BLOCK));
        assertEquals(0, cache.match("y" + BLOCK));
    }

    @Test
    void theLeastRecentlyUsedBlockIsEvictedFirst() {
        String other = "y" + BLOCK;
        cache.add(BLOCK);
        cache.add(other);
        cache.match(BLOCK);
        cache.add("z" + BLOCK);
        assertEquals(BLOCK_TOKENS, cache.match(BLOCK));
        assertEquals(0, cache.match(other));
    }

    @Test
    void evictingAllLeavesNothing() {
        cache.add(BLOCK);
        cache.evict(1, new SplittableRandom(1));
        assertEquals(0, cache.match(BLOCK));
    }
}
