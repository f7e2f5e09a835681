package sorrelhoist.core.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.members.RegistryView.Change;
import sorrelhoist.core.members.RegistryView.Instance;
import sorrelhoist.routing.Routing.Server;
import sorrelhoist.routing.Routing.ServerState;

/** The registry's list read as engines, the edge's table of them, and the edges' own numbers. */
class MembersTest {
    private static final long S = 1_000_000;

    private static Instance instance(String id, String status, long startedMs) {
        return new Instance(
                "ENGINES",
                id,
                status,
                "127.0.0.1:1",
                Map.of("zone", "a", "rack", "r", "kind", "prefill", "started-ms", "" + startedMs));
    }

    private static EngineTable.ListedEngine entry(
            String id, ServerState state, long incarnation, long upFor) {
        return new EngineTable.ListedEngine(
                id, "a", "r", "prefill", state, 1, incarnation, upFor, "127.0.0.1:1");
    }

    @Test
    void aDeltaIsKeptOnlyWhereItsHashCodeAgrees() {
        RegistryView view = new RegistryView();
        assertFalse(view.isComplete());
        view.replaceAll(List.of(instance("a", "UP", 0), instance("b", "UP", 0)));
        assertEquals("UP_2_", view.statusHashCode());
        assertTrue(
                view.applyDelta(
                        List.of(new Change("MODIFIED", instance("b", "DOWN", 0))), "DOWN_1_UP_1_"));
        assertTrue(
                view.applyDelta(List.of(new Change("DELETED", instance("b", "DOWN", 0))), "UP_1_"));
        assertFalse(view.applyDelta(List.of(), "UP_2_"));
        assertFalse(view.isComplete());
        view.replaceAll(List.of(instance("a", "UP", 0)));
        assertTrue(view.isComplete());
    }

    @Test
    void statesAreReadFromStatusAndAbsence() {
        EndpointTracker book = new EndpointTracker(10 * S);
        List<EndpointTracker.TrackedEndpoint> first =
                book.update(S, List.of(instance("a", "UP", 0), instance("b", "STARTING", 0)));
        assertEquals(1, first.size());
        assertEquals(0, book.update(2 * S, List.of(instance("a", "UP", 0))).size());
        assertEquals(1, book.epoch());
        assertEquals(
                ServerState.DRAINING,
                book.update(3 * S, List.of(instance("a", "OUT_OF_SERVICE", 0)))
                        .get(0)
                        .entry()
                        .state());
        EndpointTracker.TrackedEndpoint gone = book.update(4 * S, List.of()).get(0);
        assertEquals(ServerState.GONE, gone.entry().state());
        assertEquals(4 * S, gone.learnedAt());
        assertNull(book.address("a"));
        assertEquals(0, book.update(5 * S, List.of()).size());
        assertEquals(1, book.update(6 * S, List.of(instance("a", "UP", 5500))).size());
        assertEquals(4, book.epoch());
    }

    @Test
    void aRegistryThatListsNothingIsNotBelievedAtOnce() {
        EndpointTracker book = new EndpointTracker(10 * S);
        book.update(
                S, List.of(instance("a", "UP", 0), instance("b", "UP", 0), instance("c", "UP", 0)));
        assertEquals(0, book.update(2 * S, List.of()).size());
        assertTrue(book.warnings().get(0).contains("vanished"));
        assertEquals(
                0,
                book.update(
                                3 * S,
                                List.of(
                                        instance("a", "UP", 0),
                                        instance("b", "UP", 0),
                                        instance("c", "UP", 0)))
                        .size());
        assertEquals(0, book.update(4 * S, List.of()).size());
        assertEquals(0, book.update(13 * S, List.of()).size());
        assertEquals(3, book.update(14 * S, List.of()).size());
    }

    @Test
    void metadataThatCannotBeUsedIsSaidAndLeftOut() {
        EndpointTracker book = new EndpointTracker(10 * S);
        assertEquals(
                0,
                book.update(
                                0,
                                List.of(
                                        new Instance(
                                                "E", "x", "UP", "127.0.0.1:1", Map.of("zone", "a")),
                                        new Instance(
                                                "E",
                                                "y",
                                                "UP",
                                                "127.0.0.1:1",
                                                Map.of("zone", "a", "kind", "k", "size", "big"))))
                        .size());
        assertEquals(2, book.warnings().size());
    }

    @Test
    void aStartsTimeMovesOnlyWithItsIncarnation() {
        EngineTable table = new EngineTable(List.of("a"), List.of("prefill"));
        long since =
                table.update(100 * S, List.of(entry("e", ServerState.SERVING, 7, 10 * S)))
                        .get(0)
                        .since();
        assertEquals(90 * S, since);
        // The same process, told again with an age that a slow network has bent.
        assertEquals(
                since,
                table.update(105 * S, List.of(entry("e", ServerState.DRAINING, 7, 14 * S)))
                        .get(0)
                        .since());
        // It restarted within a second under the same id: later, whatever the ages say.
        Server again =
                table.update(106 * S, List.of(entry("e", ServerState.SERVING, 8, 30 * S))).get(0);
        assertTrue(again.since() > since);
        // Late word of the process before says nothing of the one that runs.
        assertEquals(List.of(), table.update(107 * S, List.of(entry("e", ServerState.GONE, 7, 0))));
    }

    @Test
    void enginesOfUnknownZonesOrKindsAreLeftOutAndSaid() {
        EngineTable table = new EngineTable(List.of("b"), List.of("prefill"));
        assertEquals(List.of(), table.update(0, List.of(entry("e", ServerState.SERVING, 1, 0))));
        assertTrue(table.warnings().get(0).contains("zone \"a\""));
    }

    @Test
    void edgesKeepTheirNumbersAndGapsClose() {
        ReplicaSlots seats = new ReplicaSlots(2, 10 * S);
        seats.join("x");
        assertEquals(new ReplicaSlots.Slot(2, 0), seats.slotOf("x"));
        seats.join("y");
        seats.join("z");
        assertEquals(new ReplicaSlots.Slot(3, 2), seats.slotOf("z"));
        seats.leave(0, "x");
        assertFalse(seats.expireLeases(9 * S));
        assertEquals(3, seats.slotOf("y").replicas());
        seats.join("x");
        assertFalse(seats.expireLeases(20 * S));
        seats.leave(20 * S, "x");
        assertTrue(seats.expireLeases(30 * S));
        assertEquals(new ReplicaSlots.Slot(2, 0), seats.slotOf("y"));
        assertEquals(new ReplicaSlots.Slot(2, 1), seats.slotOf("z"));
        assertEquals("z", seats.edgeAt(1));
        assertNull(seats.slotOf("x"));
    }
}
