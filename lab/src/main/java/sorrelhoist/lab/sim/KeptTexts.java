package sorrelhoist.lab.sim;

import java.util.LinkedHashMap;

/**
 * Texts that an engine keeps by their keys, up to a number of tokens; the least recently used go
 * first.
 */
final class KeptTexts {
    private final long most;
    private final LinkedHashMap<String, Long> kept = new LinkedHashMap<>(64, 0.75f, true);
    private long tokens;

    KeptTexts(long most) {
        this.most = most;
    }

    long kept(String key) {
        Long n = key == null ? null : kept.get(key);
        return n == null ? 0 : n;
    }

    void keep(String key, long n) {
        if (key != null && n > 0) {
            Long before = kept.put(key, n);
            tokens += n - (before == null ? 0 : before);
            while (tokens > most) {
                var eldest = kept.entrySet().iterator();
                tokens -= eldest.next().getValue();
                eldest.remove();
            }
        }
    }
}
