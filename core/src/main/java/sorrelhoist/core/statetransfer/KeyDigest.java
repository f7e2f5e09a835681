package sorrelhoist.core.statetransfer;

import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import sorrelhoist.routing.Knowledge;

/**
 * Digest of the keys that a receiving router already has: a hash of four bytes for each key. If two
 * keys have the same hash, a missing one counts as present and is not transferred, which only costs
 * locality. A transfer that broke off is resumed with another request that has a larger digest.
 */
public final class KeyDigest {
    /** Maximum number of keys in a digest. */
    public static final int MAX_KEYS = 50_000;

    private static final int FNV_OFFSET_BASIS = 0x811c9dc5;
    private static final int FNV_PRIME = 0x01000193;

    private final Set<Integer> hashes;

    private KeyDigest(Set<Integer> hashes) {
        this.hashes = hashes;
    }

    /**
     * {@return the digest of the known keys; if there are too many, of the most recently used ones}
     */
    public static byte[] encode(Knowledge known) {
        List<Knowledge.PrefixEntry> keys = known.keys();
        int count = Math.min(MAX_KEYS, keys.size());
        ByteBuffer bytes = ByteBuffer.allocate(Integer.BYTES * count);
        for (Knowledge.PrefixEntry key : keys.subList(keys.size() - count, keys.size())) {
            bytes.putInt(hash(key.name()));
        }
        return bytes.array();
    }

    /**
     * {@return the digest that these bytes encode; hashes beyond the limit and an incomplete last
     * hash are ignored}
     */
    public static KeyDigest decode(byte[] bytes) {
        Set<Integer> hashes = new HashSet<>();
        ByteBuffer in = ByteBuffer.wrap(bytes);
        while (in.remaining() >= Integer.BYTES && hashes.size() < MAX_KEYS) {
            hashes.add(in.getInt());
        }
        return new KeyDigest(hashes);
    }

    /** {@return whether the receiving router probably has this key} */
    public boolean contains(String key) {
        return hashes.contains(hash(key));
    }

    /**
     * FNV-1a over UTF-16 code units, with the high bits folded into the low ones; it has to be the
     * same in all versions of the router.
     */
    private static int hash(String name) {
        int hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * FNV_PRIME;
        }
        return hash ^ hash >>> 15;
    }
}
