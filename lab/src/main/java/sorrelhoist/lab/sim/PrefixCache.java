package sorrelhoist.lab.sim;

import java.util.LinkedHashMap;

/**
 * Texts that an engine keeps by their keys, up to a number of tokens; the least recently used go
 * first.
 */
final class PrefixCache {
    private final long most;
    private final LinkedHashMap<String, Long> cachedTokens = new LinkedHashMap<>(64, 0.75f, true);
    private long tokens;

    PrefixCache(long most) {
        this.most = most;
    }

    long cachedTokens(String key) {
        Long n = key == null ? null : cachedTokens.get(key);
        return n == null ? 0 : n;
    }

    void add(String key, long n) {
        if (key != null && n > 0) {
            Long before = cachedTokens.put(key, n);
            tokens += n - (before == null ? 0 : before);
            while (tokens > most) {
                var eldest = cachedTokens.entrySet().iterator();
                tokens -= eldest.next().getValue();
                eldest.remove();
            }
        }
    }
}
