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

        /** Forgets the uses before a time and returns how many are left. */
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

    /** Holders by the endpoint's id. */
    final TreeMap<String, Holder> holders = new TreeMap<>();

    long lastUsedAt;

    /** Requests that arrived with it since it is known. */
    int uses;

    /** How many holders were marked ahead of the evidence. */
    int expectedHolders;

    CachedPrefix(String name) {
        this.name = name;
    }
}
