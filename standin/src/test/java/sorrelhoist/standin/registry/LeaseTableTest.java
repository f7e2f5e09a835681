package sorrelhoist.standin.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.standin.TraceWriter;
import sorrelhoist.standin.registry.LeaseChange.Action;

class LeaseTableTest {
    private final LeaseTable table;

    LeaseTableTest() throws IOException {
        table = new LeaseTable(60_000_000, new RegistryTrace(new TraceWriter(null, "registry")));
    }

    private static Lease lease(String id, long renewedAtMicros) {
        return new Lease(
                "ENGINES",
                id,
                JsonNodeFactory.instance.objectNode(),
                "UP",
                null,
                renewedAtMicros,
                1000,
                renewedAtMicros);
    }

    private List<Action> actions() {
        return table.snapshotAt(Long.MAX_VALUE).changes().stream()
                .map(LeaseChange::action)
                .toList();
    }

    @Test
    void aSecondRegistrationModifiesTheFirst() {
        table.register(lease("e1", 0));
        table.register(lease("e1", 5));
        assertEquals(List.of(Action.ADDED, Action.MODIFIED), actions());
        assertEquals(5, table.find("engines", "e1").renewedAtMicros());
    }

    @Test
    void aRenewalIsNoChange() {
        table.register(lease("e1", 0));
        table.renew(lease("e1", 5));
        assertEquals(List.of(Action.ADDED), actions());
    }

    @Test
    void expiredLeasesAreDeleted() {
        table.register(lease("e1", 0));
        table.register(lease("e2", 500));
        table.evictExpired(1001);
        assertNull(table.find("ENGINES", "e1"));
        assertEquals("e2", table.findByInstanceId("e2").orElseThrow().instanceId());
        assertEquals(List.of(Action.ADDED, Action.ADDED, Action.DELETED), actions());
    }

    @Test
    void anOldSnapshotDoesNotChange() {
        LeaseSnapshot empty = table.snapshotAt(0);
        table.register(lease("e1", 0));
        assertSame(empty, table.snapshotAt(0));
        assertEquals(List.of(), empty.leases());
    }
}
