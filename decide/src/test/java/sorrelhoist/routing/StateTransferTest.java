package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static sorrelhoist.routing.Fixtures.SECOND;

import java.util.List;
import org.junit.jupiter.api.Test;

class StateTransferTest {
    private static StateTransfer of(PolicyParts parts) {
        return new StateTransfer(parts.endpoints, parts.prefixes, parts.serviceTimes);
    }

    @Test
    void trustInImportedKnowledgeDecreasesWithAgeAndItIsNotExported() {
        PolicyParts teacher = new PolicyParts();
        teacher.outliers.recordFailure(teacher.endpoint("r1"));
        teacher.prefixes.addHolder("pre", 100, teacher.endpoint("r2"));
        long now = PolicyParts.START;
        Knowledge exported = of(teacher).exportKnowledge(now, 10);
        assertEquals(1, exported.servers().size());
        PolicyParts fresh = new PolicyParts();
        PolicyParts late = new PolicyParts();
        of(fresh).importKnowledge(now, exported, 0);
        of(late).importKnowledge(now, exported, 600 * SECOND);
        assertEquals(0.3, fresh.endpoint("r1").health.failureRate, 1e-9);
        assertEquals(0.3 / Math.E, late.endpoint("r1").health.failureRate, 1e-9);
        assertFalse(fresh.endpoint("r1").health.ejected);
        assertEquals(100, fresh.prefixes.find("pre").holders.get("r2").tokens);
        assertNull(late.prefixes.find("pre"), "the entry is too old to be imported");
        assertEquals(List.of(), of(fresh).exportKnowledge(now, 10).servers());
    }
}
