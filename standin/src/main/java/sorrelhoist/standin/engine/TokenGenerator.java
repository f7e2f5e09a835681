package sorrelhoist.standin.engine;

/**
 * Generates the tokens of answers: words that follow from a digest of the request and their index.
 * Each token carries its index, so that a gap or a repetition shows.
 */
final class TokenGenerator {
    private static final String[] WORDS = {
        "alder", "ash", "beech", "birch", "cedar", "elm", "fir", "hazel", "holly", "larch", "lime",
        "maple", "oak", "pine", "poplar", "rowan", "spruce", "sorrel", "willow", "yew"
    };
    private static final int DIGEST_PROMPT_CHARACTERS = 64;
    private static final long FNV_OFFSET_BASIS = 1469598103934665603L;
    private static final long FNV_PRIME = 1099511628211L;

    private TokenGenerator() {}

    static String token(long digest, int index) {
        int word = (int) Math.floorMod(mix(digest + index), (long) WORDS.length);
        return WORDS[word] + index + " ";
    }

    /** {@return a digest of the client's request id, or of the prompt's beginning without one} */
    static long digest(String clientId, String prompt) {
        int prefixLength = Math.min(DIGEST_PROMPT_CHARACTERS, prompt.length());
        String text = clientId.isEmpty() ? prompt.substring(0, prefixLength) : clientId;
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** The finalizer of SplitMix64. */
    private static long mix(long value) {
        long mixed = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return mixed ^ mixed >>> 31;
    }
}
