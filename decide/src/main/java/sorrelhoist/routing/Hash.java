package sorrelhoist.routing;

/** Hashes that are the same at every router; arithmetic only. */
final class Hash {
    private static final int TAG_SHIFT = 43;
    private static final long KEY_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private Hash() {}

    /**
     * {@return a key's weight at an endpoint: the highest wins (rendezvous hashing), so that a
     * change of the list moves only its own keys}
     */
    static long of(String key, String endpoint) {
        return mix(key.hashCode() * KEY_MULTIPLIER ^ endpoint.hashCode());
    }

    /** {@return a short name of an endpoint for messages} */
    static String tag(String endpoint) {
        return Long.toString(mix(endpoint.hashCode()) >>> TAG_SHIFT, Character.MAX_RADIX);
    }

    /** The finalizer of SplitMix64. */
    private static long mix(long x) {
        long mixed = (x ^ x >>> 30) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 31;
    }
}
