package sorrelhoist.core.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.members.EndpointTracker.TrackedEndpoint;
import sorrelhoist.core.members.RegistryView.Instance;
import sorrelhoist.routing.RoutingEvents.ServerState;

/** Tests how engine states are derived from the registry. */
class EndpointTrackerTest {
    private static final long SECOND = 1_000_000;
    private static final List<Instance> THREE =
            List.of(instance("a", "UP", 0), instance("b", "UP", 0), instance("c", "UP", 0));

    private final EndpointTracker tracker = new EndpointTracker(10 * SECOND);

    private static Instance instance(String id, String status, long startedMillis) {
        Map<String, String> metadata =
                Map.of(
                        "zone",
                        "a",
                        "rack",
                        "r",
                        "kind",
                        "prefill",
                        "started-ms",
                        Long.toString(startedMillis));
        return instance(id, status, metadata);
    }

    private static Instance instance(String id, String status, Map<String, String> metadata) {
        return new Instance("ENGINES", id, status, "127.0.0.1:1", metadata);
    }

    @Test
    void statesAreDerivedFromStatusAndAbsence() {
        List<TrackedEndpoint> first =
                tracker.update(
                        SECOND, List.of(instance("a", "UP", 0), instance("b", "STARTING", 0)));
        assertEquals(1, first.size());
        assertEquals(0, tracker.update(2 * SECOND, List.of(instance("a", "UP", 0))).size());
        assertEquals(1, tracker.epoch());
        List<TrackedEndpoint> draining =
                tracker.update(3 * SECOND, List.of(instance("a", "OUT_OF_SERVICE", 0)));
        assertEquals(ServerState.DRAINING, draining.get(0).engine().state());
        TrackedEndpoint gone = tracker.update(4 * SECOND, List.of()).get(0);
        assertEquals(ServerState.GONE, gone.engine().state());
        assertEquals(4 * SECOND, gone.learnedAt());
        assertNull(tracker.address("a"));
        assertEquals(0, tracker.update(5 * SECOND, List.of()).size());
        assertEquals(1, tracker.update(6 * SECOND, List.of(instance("a", "UP", 5500))).size());
        assertEquals(4, tracker.epoch());
    }

    @Test
    void massRemovalIsIgnoredDuringGracePeriod() {
        tracker.update(SECOND, THREE);
        assertEquals(0, tracker.update(2 * SECOND, List.of()).size());
        assertTrue(tracker.warnings().get(0).contains("vanished"));
        assertEquals(0, tracker.update(3 * SECOND, THREE).size());
        assertEquals(0, tracker.update(4 * SECOND, List.of()).size());
        assertEquals(0, tracker.update(13 * SECOND, List.of()).size());
        assertEquals(3, tracker.update(14 * SECOND, List.of()).size());
    }

    @Test
    void invalidMetadataIsReportedAndSkipped() {
        List<Instance> unusable =
                List.of(
                        instance("x", "UP", Map.of("zone", "a")),
                        instance("y", "UP", Map.of("zone", "a", "kind", "k", "size", "big")));
        assertEquals(0, tracker.update(0, unusable).size());
        assertEquals(2, tracker.warnings().size());
    }
}
