package sorrelhoist.core.know;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import sorrelhoist.Knowledge;

/**
 * What a learner has already, in few bytes: four for each key. Two keys of one hash mean a key that
 * is not taught, which costs locality and nothing else. Asking again with a larger digest is how an
 * exchange that broke goes on.
 */
public final class Digest {
    /** Keys that a digest tells of at most. */
    public static final int MOST = 50_000;

    private final Set<Integer> has;

    private Digest(Set<Integer> has) {
        this.has = has;
    }

    /** {@return the digest of what is known} */
    public static byte[] of(Knowledge known) {
        int count = Math.min(MOST, known.keys().size());
        byte[] bytes = new byte[4 * count];
        List<Knowledge.Key> newest =
                known.keys().subList(known.keys().size() - count, known.keys().size());
        int at = 0;
        for (Knowledge.Key k : newest) {
            int h = hash(k.name());
            for (int shift = 24; shift >= 0; shift -= 8) {
                bytes[at++] = (byte) (h >> shift);
            }
        }
        return bytes;
    }

    /** {@return a digest from its bytes; what is beyond the limit or cut is passed over} */
    public static Digest read(byte[] bytes) {
        Set<Integer> has = new HashSet<>();
        for (int at = 0; at + 4 <= bytes.length && has.size() < MOST; at += 4) {
            has.add(
                    (bytes[at] & 0xFF) << 24
                            | (bytes[at + 1] & 0xFF) << 16
                            | (bytes[at + 2] & 0xFF) << 8
                            | bytes[at + 3] & 0xFF);
        }
        return new Digest(has);
    }

    /** {@return whether the learner seems to have this key} */
    public boolean has(String key) {
        return has.contains(hash(key));
    }

    private static int hash(String name) {
        int h = 0x811c9dc5;
        for (int i = 0; i < name.length(); i++) {
            h = (h ^ name.charAt(i)) * 0x01000193;
        }
        return h ^ h >>> 15;
    }
}
