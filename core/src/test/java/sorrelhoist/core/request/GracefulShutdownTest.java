package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

class GracefulShutdownTest {
    private static final long UNTIL = 3_000_000;

    @Test
    void streamsAreMigratedEvenlyAndAllInTime() {
        GracefulShutdown shutdown = new GracefulShutdown(UNTIL);
        int left = 60;
        int most = 0;
        for (long t = 0; t < UNTIL; t += GracefulShutdown.STEP_MICROS) {
            int migrated = shutdown.streamsToMigrate(t, left, true);
            most = Math.max(most, migrated);
            left -= migrated;
        }
        assertEquals(0, left);
        assertEquals(2, most);
        assertEquals(5, shutdown.streamsToMigrate(UNTIL, 5, true));
    }

    @Test
    void noStreamIsMigratedWithoutALivePeer() {
        GracefulShutdown shutdown = new GracefulShutdown(UNTIL);
        assertEquals(0, shutdown.streamsToMigrate(0, 60, false));
        assertEquals(0, shutdown.streamsToMigrate(UNTIL + 1, 60, false));
    }

    @Test
    void aPeerIsLiveWhileItsHeartbeatIsRecentAndUntilItAnnouncesItsShutdown() {
        PeerLiveness n = new PeerLiveness(0, 2, 0);
        assertFalse(n.hasLivePeer(0));
        assertTrue(n.messageReceived(0, 0, "@here"));
        assertFalse(n.hasLivePeer(0), "a router's own heartbeat counted as a live peer");
        assertTrue(n.messageReceived(0, 1, "@here"));
        assertTrue(n.hasLivePeer(2_000_000));
        assertFalse(n.hasLivePeer(3_000_000));
        n.messageReceived(3_000_000, 1, "@here");
        n.messageReceived(3_100_000, 1, "@leaving");
        assertFalse(n.hasLivePeer(3_100_000));
        assertFalse(n.messageReceived(0, 1, "r1:l0.250 "));
    }

    @Test
    void aRouterThatHasJustStartedSendsNoHeartbeatAndOneThatShutsDownAnnouncesIt() {
        PeerLiveness n = new PeerLiveness(3, 10, 1_000_000);
        assertNull(n.heartbeatMessage(2_000_000, false));
        assertEquals("@leaving", n.heartbeatMessage(2_000_000, true));
        assertEquals("@here", n.heartbeatMessage(6_000_000, false));
    }

    /**
     * Every message has a cost per receiver, so a hundred routers must not send a hundred per
     * second.
     */
    @Test
    void allRoutersTogetherSendAFewHeartbeatsASecondAndOneIsAlwaysRecent() {
        for (int routers : new int[] {2, 3, 20, 100, 150}) {
            List<Long> heartbeats = new ArrayList<>();
            for (int i = 0; i < routers; i++) {
                PeerLiveness n = new PeerLiveness(i, routers, 0);
                for (long t = n.firstHeartbeatDelayMicros();
                        t < 120_000_000;
                        t += n.heartbeatIntervalMicros()) {
                    heartbeats.add(t);
                }
            }
            Collections.sort(heartbeats);
            long seconds = (120_000_000 - heartbeats.get(0)) / 1_000_000;
            assertTrue(
                    heartbeats.size() <= 4 * (seconds + 2),
                    routers + " routers sent too many heartbeats: " + heartbeats.size());
            for (int i = 1; i < heartbeats.size(); i++) {
                assertTrue(heartbeats.get(i) - heartbeats.get(i - 1) <= 1_000_000);
            }
        }
    }
}
