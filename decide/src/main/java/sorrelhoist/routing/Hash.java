package sorrelhoist.routing;

/** Hashes that are the same at every router; arithmetic only. */
final class Hash {
    private static final int TAG_SHIFT = 43;

    private Hash() {}

    /**
     * A key's weight at a server: the highest wins, so a change of the list moves only its own
     * keys.
     */
    static long of(String key, String server) {
        return mix(key.hashCode() * 0x9E3779B97F4A7C15L ^ server.hashCode());
    }

    /** A short name of a server for messages. */
    static String tag(String server) {
        return Long.toString(mix(server.hashCode()) >>> TAG_SHIFT, Character.MAX_RADIX);
    }

    private static long mix(long x) {
        x = (x ^ x >>> 30) * 0xBF58476D1CE4E5B9L;
        x = (x ^ x >>> 27) * 0x94D049BB133111EBL;
        return x ^ x >>> 31;
    }
}
