package sorrelhoist.core.statetransfer;

import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import sorrelhoist.routing.Knowledge;

/**
 * The keys that a receiving router has already, as a hash of four bytes each. Where two keys have
 * one hash, one is not transferred, which costs locality and nothing else. A transfer that broke
 * off is resumed by asking again with a larger digest.
 */
public final class KeyDigest {
    /** Keys that a digest holds at most. */
    public static final int MAX_KEYS = 50_000;

    private static final int FNV_OFFSET_BASIS = 0x811c9dc5;
    private static final int FNV_PRIME = 0x01000193;

    private final Set<Integer> hashes;

    private KeyDigest(Set<Integer> hashes) {
        this.hashes = hashes;
    }

    /** {@return the digest of what is known; of too many keys, that of the newest} */
    public static byte[] encode(Knowledge known) {
        List<Knowledge.PrefixEntry> keys = known.keys();
        int count = Math.min(MAX_KEYS, keys.size());
        ByteBuffer bytes = ByteBuffer.allocate(Integer.BYTES * count);
        for (Knowledge.PrefixEntry key : keys.subList(keys.size() - count, keys.size())) {
            bytes.putInt(hash(key.name()));
        }
        return bytes.array();
    }

    /** {@return the digest of these bytes; what is beyond the limit or cut is passed over} */
    public static KeyDigest decode(byte[] bytes) {
        Set<Integer> hashes = new HashSet<>();
        ByteBuffer in = ByteBuffer.wrap(bytes);
        while (in.remaining() >= Integer.BYTES && hashes.size() < MAX_KEYS) {
            hashes.add(in.getInt());
        }
        return new KeyDigest(hashes);
    }

    /** {@return whether the receiving router seems to have this key} */
    public boolean contains(String key) {
        return hashes.contains(hash(key));
    }

    /** FNV-1a over UTF-16 units, folded; routers of all versions have to agree on it. */
    private static int hash(String name) {
        int hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * FNV_PRIME;
        }
        return hash ^ hash >>> 15;
    }
}
