package sorrelhoist.routing;

/** Hashes that are equal at all routers, as they use integer arithmetic only. */
final class Hash {
    private static final int TAG_SHIFT = 43;
    private static final long KEY_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private Hash() {}

    /**
     * {@return a key's weight at an endpoint for rendezvous hashing: the endpoint with the highest
     * weight is selected, so a change of the list moves only the keys of the changed endpoints}
     */
    static long of(String key, String endpoint) {
        return mix(key.hashCode() * KEY_MULTIPLIER ^ endpoint.hashCode());
    }

    /** {@return the short tag of an endpoint in gossip messages} */
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
