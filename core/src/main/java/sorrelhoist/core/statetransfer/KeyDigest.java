package sorrelhoist.core.statetransfer;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import sorrelhoist.routing.Knowledge;

/**
 * What a learner has already, in few bytes: four for each key. Two keys of one hash mean a key that
 * is not taught, which costs locality and nothing else. Asking again with a larger digest is how an
 * exchange that broke goes on.
 */
public final class KeyDigest {
    /** Keys that a digest tells of at most. */
    public static final int MAX_KEYS = 50_000;

    private final Set<Integer> contains;

    private KeyDigest(Set<Integer> has) {
        this.contains = has;
    }

    /** {@return the digest of what is known} */
    public static byte[] encode(Knowledge known) {
        int count = Math.min(MAX_KEYS, known.keys().size());
        byte[] bytes = new byte[4 * count];
        List<Knowledge.PrefixEntry> newest =
                known.keys().subList(known.keys().size() - count, known.keys().size());
        int at = 0;
        for (Knowledge.PrefixEntry k : newest) {
            int h = hash(k.name());
            for (int shift = 24; shift >= 0; shift -= 8) {
                bytes[at++] = (byte) (h >> shift);
            }
        }
        return bytes;
    }

    /** {@return a digest from its bytes; what is beyond the limit or cut is passed over} */
    public static KeyDigest decode(byte[] bytes) {
        Set<Integer> has = new HashSet<>();
        for (int at = 0; at + 4 <= bytes.length && has.size() < MAX_KEYS; at += 4) {
            has.add(
                    (bytes[at] & 0xFF) << 24
                            | (bytes[at + 1] & 0xFF) << 16
                            | (bytes[at + 2] & 0xFF) << 8
                            | bytes[at + 3] & 0xFF);
        }
        return new KeyDigest(has);
    }

    /** {@return whether the learner seems to have this key} */
    public boolean contains(String key) {
        return contains.contains(hash(key));
    }

    private static int hash(String name) {
        int h = 0x811c9dc5;
        for (int i = 0; i < name.length(); i++) {
            h = (h ^ name.charAt(i)) * 0x01000193;
        }
        return h ^ h >>> 15;
    }
}
