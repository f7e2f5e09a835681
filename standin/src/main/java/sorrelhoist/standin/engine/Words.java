package sorrelhoist.standin.engine;

/**
 * Makes answers: words that follow from a digest and their place, each with its index, so that a
 * gap shows.
 */
final class Words {
    private static final String[] WORDS = {
        "alder", "ash", "beech", "birch", "cedar", "elm", "fir", "hazel", "holly", "larch", "lime",
        "maple", "oak", "pine", "poplar", "rowan", "spruce", "sorrel", "willow", "yew"
    };

    private Words() {}

    static String token(long digest, int index) {
        int at = (int) Math.floorMod(mix(digest + index), (long) WORDS.length);
        return WORDS[at] + index + " ";
    }

    /**
     * What an answer follows from: the client's name for its request, or else the prompt's
     * beginning.
     */
    static long digest(String clientId, String prompt) {
        String text =
                clientId.isEmpty() ? prompt.substring(0, Math.min(64, prompt.length())) : clientId;
        long hash = 1469598103934665603L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 1099511628211L;
        }
        return mix(hash);
    }

    private static long mix(long value) {
        long z = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}
