package sorrelhoist.routing;

import java.util.ArrayDeque;
import java.util.TreeMap;

/** A session or a shared prefix, and the endpoints that likely have its tokens cached. */
final class CachedPrefix {
    /** An endpoint that likely has the tokens cached. */
    static final class Holder {
        private final ArrayDeque<Long> usedAt = new ArrayDeque<>();
        long tokens;

        Holder(long tokens) {
            this.tokens = tokens;
        }

        /** Removes the uses before a time and returns the number of those left. */
        int usesSince(long time) {
            while (!usedAt.isEmpty() && usedAt.peek() < time) {
                usedAt.poll();
            }
            return usedAt.size();
        }

        void recordUse(long now) {
            usedAt.add(now);
        }
    }

    final String name;

    /** Holders by endpoint id. */
    final TreeMap<String, Holder> holders = new TreeMap<>();

    long lastUsedAt;

    /** Number of requests that arrived with this prefix since it became known. */
    int uses;

    /** Number of holders that were marked without evidence that they have the prefix cached. */
    int expectedHolders;

    CachedPrefix(String name) {
        this.name = name;
    }
}
