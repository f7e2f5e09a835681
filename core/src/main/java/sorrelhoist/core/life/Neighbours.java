package sorrelhoist.core.life;

import java.util.HashMap;
import java.util.Map;

/**
 * Which other routers of the tier take requests, by their own word: each says so every second, and says when it is told
 * to end. Silence means that it is gone, so lost messages cost a second or two. Only a departure asks this; no request
 * is routed by it.
 */
public final class Neighbours {
    /** Between two words of a router, in microseconds. */
    public static final long WORD = 1_000_000;
    private static final long SILENT = 5 * WORD / 2;
    private static final String HERE = "@here";
    private static final String LEAVING = "@leaving";
    private static final long SETTLED = 4 * WORD; // one that has just started is slow, and learns from nothing

    /** A router's words without a silence between them: the first and the last. */
    private record Words(long since, long last) {
    }

    private final int self;
    private final Map<Integer, Words> here = new HashMap<>();

    /**
     * Knows nobody.
     *
     * @param self this router's number
     */
    public Neighbours(int self) {
        this.self = self;
    }

    /** {@return what to tell all others now} */
    public String word(boolean leaving) {
        return leaving ? LEAVING : HERE;
    }

    /**
     * Hears a message.
     *
     * @param now the caller's clock, in microseconds
     * @param from the sender's number
     * @param body the message
     * @return whether it was for this; others are the decisions'
     */
    public boolean heard(long now, int from, String body) {
        if (body.equals(HERE)) {
            Words before = here.get(from);
            boolean goesOn = before != null && now - before.last() <= SILENT;
            here.put(from, new Words(goesOn ? before.since() : now, now));
        } else if (body.equals(LEAVING)) {
            here.remove(from);
        } else {
            return false;
        }
        return true;
    }

    /** {@return whether another router is there, and has been for a while} */
    public boolean any(long now) {
        return here.entrySet().stream().anyMatch(e -> e.getKey() != self
                && now - e.getValue().last() <= SILENT && now - e.getValue().since() >= SETTLED);
    }
}
