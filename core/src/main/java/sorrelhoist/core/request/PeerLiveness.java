package sorrelhoist.core.request;

import java.util.HashMap;
import java.util.Map;

/**
 * Whether another router of the tier is there to take requests, by the heartbeats that they send to
 * each other. All routers together send a few a second however many they are: messages are priced
 * for each receiver. A router that has just started sends none yet, and one that shuts down says
 * so. Lost messages cost a second or two. Only a graceful shutdown asks this; no request is routed
 * by it.
 */
public final class PeerLiveness {
    private static final long SECOND = 1_000_000;

    /** By all routers together. */
    private static final int HEARTBEATS_PER_SECOND = 4;

    /** After so long without a heartbeat a router counts as gone. */
    private static final long TIMEOUT_MICROS = 5 * SECOND / 2;

    /** A router that has just started is slow, and has learned nothing. */
    private static final long START_UP_MICROS = 4 * SECOND;

    private static final String HEARTBEAT = "@here";
    private static final String LEAVING = "@leaving";

    private final int self;
    private final int routers;
    private final long startedAt;
    private final Map<Integer, Long> lastHeartbeat = new HashMap<>();

    /**
     * Creates one that knows no peer.
     *
     * @param self this router's index, from 0
     * @param routers how many there are
     * @param startedAt when this one started, on the caller's clock in microseconds
     */
    public PeerLiveness(int self, int routers, long startedAt) {
        this.self = self;
        this.routers = routers;
        this.startedAt = startedAt;
    }

    /** {@return microseconds between two heartbeats of this router} */
    public long heartbeatIntervalMicros() {
        return Math.max(SECOND, SECOND * routers / HEARTBEATS_PER_SECOND);
    }

    /**
     * {@return microseconds from the start to the first heartbeat: routers that start together send
     * theirs in turns}
     */
    public long firstHeartbeatDelayMicros() {
        return START_UP_MICROS + heartbeatIntervalMicros() * self / routers;
    }

    /**
     * Says whether this router is there.
     *
     * @param now the caller's clock, in microseconds
     * @param shuttingDown whether it was told to end
     * @return what to send to all others, or null where there is nothing to say
     */
    public String heartbeatMessage(long now, boolean shuttingDown) {
        if (shuttingDown) {
            return LEAVING;
        }
        return now - startedAt >= START_UP_MICROS ? HEARTBEAT : null;
    }

    /**
     * Takes a message in.
     *
     * @param now the caller's clock, in microseconds
     * @param from the sender's index
     * @param body the message
     * @return whether it was a heartbeat; others are the routing policy's
     */
    public boolean messageReceived(long now, int from, String body) {
        if (body.equals(HEARTBEAT)) {
            lastHeartbeat.put(from, now);
            return true;
        }
        if (body.equals(LEAVING)) {
            lastHeartbeat.remove(from);
            return true;
        }
        return false;
    }

    /** {@return whether another router is there that has been for a while} */
    public boolean hasLivePeer(long now) {
        return lastHeartbeat.entrySet().stream()
                .anyMatch(peer -> peer.getKey() != self && now - peer.getValue() <= TIMEOUT_MICROS);
    }
}
