package sorrelhoist.core.request;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks whether another router of the tier is live and can take requests, based on heartbeats
 * between routers. All routers together send only a few heartbeats per second, however many routers
 * there are, because every message has a cost per receiver. A router that has just started sends no
 * heartbeats yet, and one that shuts down announces it. Lost messages delay a change of this state
 * by a second or two. Only graceful shutdown uses this state; it does not affect routing.
 */
public final class PeerLiveness {
    private static final long SECOND = 1_000_000;

    /** Rate of all routers together. */
    private static final int HEARTBEATS_PER_SECOND = 4;

    /** A router that has sent no heartbeat for this long is considered gone. */
    private static final long TIMEOUT_MICROS = 5 * SECOND / 2;

    /**
     * Heartbeats start this long after the start of a router: a router that has just started is
     * slow and has no knowledge yet.
     */
    private static final long START_UP_MICROS = 4 * SECOND;

    private static final String HEARTBEAT = "@here";
    private static final String LEAVING = "@leaving";

    private final int self;
    private final int routers;
    private final long startedAt;
    private final Map<Integer, Long> lastHeartbeat = new HashMap<>();

    /**
     * Creates a tracker that knows no peer.
     *
     * @param self this router's index, from 0
     * @param routers number of routers in the tier
     * @param startedAt when this router started, on the caller's clock in microseconds
     */
    public PeerLiveness(int self, int routers, long startedAt) {
        this.self = self;
        this.routers = routers;
        this.startedAt = startedAt;
    }

    /** {@return the interval between two heartbeats of this router, in microseconds} */
    public long heartbeatIntervalMicros() {
        return Math.max(SECOND, SECOND * routers / HEARTBEATS_PER_SECOND);
    }

    /**
     * {@return the delay from the start of this router to its first heartbeat, in microseconds} The
     * delay depends on the router's index, so that routers that start together spread their
     * heartbeats evenly.
     */
    public long firstHeartbeatDelayMicros() {
        return START_UP_MICROS + heartbeatIntervalMicros() * self / routers;
    }

    /**
     * Returns the message that announces this router's state to its peers.
     *
     * @param now the current time on the caller's clock, in microseconds
     * @param shuttingDown whether this router is shutting down
     * @return the message to send to all other routers, or null to send none
     */
    public String heartbeatMessage(long now, boolean shuttingDown) {
        if (shuttingDown) {
            return LEAVING;
        }
        return now - startedAt >= START_UP_MICROS ? HEARTBEAT : null;
    }

    /**
     * Processes a message from a peer.
     *
     * @param now the current time on the caller's clock, in microseconds
     * @param from index of the sender
     * @param body the message
     * @return whether the message was a heartbeat or a shutdown announcement; all other messages
     *     are for the routing policy
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

    /** {@return whether another router is live and past its start-up time} */
    public boolean hasLivePeer(long now) {
        return lastHeartbeat.entrySet().stream()
                .anyMatch(peer -> peer.getKey() != self && now - peer.getValue() <= TIMEOUT_MICROS);
    }
}
