package sorrelhoist.core.request;

import java.util.HashMap;
import java.util.Map;

/**
 * Whether another router of the tier is there to take requests, by the others' own word. Each says
 * so now and then, so that all together say a few words a second however many they are: messages
 * are priced for each receiver. One that has just started says nothing yet, and one that is told to
 * end says so. Lost messages cost a second or two. Only a departure asks this; no request is routed
 * by it.
 */
public final class PeerLiveness {
    private static final long SECOND = 1_000_000;
    private static final int FLEET_WORDS = 4; // a second, by all routers together
    private static final long SILENT = 5 * SECOND / 2;
    private static final String HERE = "@here";
    private static final String LEAVING = "@leaving";
    private static final long SETTLED =
            4 * SECOND; // one that has just started is slow, and learns from nothing
    private final int self;
    private final int routers;
    private final long startedAt;
    private final Map<Integer, Long> here = new HashMap<>();

    /**
     * Knows nobody.
     *
     * @param self this router's number, from 0
     * @param routers how many there are
     * @param startedAt when this one started, on the caller's clock in microseconds
     */
    public PeerLiveness(int self, int routers, long startedAt) {
        this.self = self;
        this.routers = routers;
        this.startedAt = startedAt;
    }

    /** {@return microseconds between two words of this router} */
    public long heartbeatIntervalMicros() {
        return Math.max(SECOND, SECOND * routers / FLEET_WORDS);
    }

    /**
     * {@return microseconds from the start to its first word: routers that start together speak in
     * turns}
     */
    public long firstHeartbeatDelayMicros() {
        return SETTLED + heartbeatIntervalMicros() * self / routers;
    }

    /**
     * Says whether this router is there.
     *
     * @param now the caller's clock
     * @param leaving whether it was told to end
     * @return what to tell all others, or null where there is nothing to say
     */
    public String heartbeatMessage(long now, boolean leaving) {
        return leaving ? LEAVING : now - startedAt >= SETTLED ? HERE : null;
    }

    /**
     * Hears a message.
     *
     * @param now the caller's clock
     * @param from the sender's number
     * @param body the message
     * @return whether it was for this; others are the decisions'
     */
    public boolean messageReceived(long now, int from, String body) {
        if (body.equals(HERE)) {
            here.put(from, now);
        } else if (body.equals(LEAVING)) {
            here.remove(from);
        } else {
            return false;
        }
        return true;
    }

    /** {@return whether another router is there that has been for a while} */
    public boolean hasLivePeer(long now) {
        return here.entrySet().stream()
                .anyMatch(e -> e.getKey() != self && now - e.getValue() <= SILENT);
    }
}
