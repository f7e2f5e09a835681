package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class PrefixTableTest {
    private final PolicyParts parts = new PolicyParts();
    private final PrefixTable prefixes = parts.prefixes;
    private final Endpoint r1 = parts.endpoint("r1");
    private final TrackedRequest request = parts.request(1, "talk", "pre", 1000, 300);

    @Test
    void missedTokensAreThePromptTokensThatAreNotCached() {
        assertEquals(1000, prefixes.missedTokens(r1, request));
        prefixes.addHolder(request, r1);
        assertEquals(0, prefixes.missedTokens(r1, request));
        TrackedRequest other = parts.request(2, "new", "pre", 1000, 300);
        assertEquals(700, prefixes.missedTokens(r1, other));
        prefixes.removeHolder(request, r1);
        assertEquals(1000, prefixes.missedTokens(r1, request));
        prefixes.addHolder(request, r1);
        prefixes.forgetEndpoint("r1");
        assertEquals(1000, prefixes.missedTokens(r1, request));
    }

    @Test
    void entriesAreOrderedByUseAndExpireUnused() {
        prefixes.addHolder(request, r1);
        prefixes.find("talk");
        assertEquals(List.of("pre", "talk"), prefixes.entries().stream().map(e -> e.name).toList());
        parts.advanceClock(PrefixTable.MAX_IDLE_MICROS - 1);
        prefixes.expire();
        assertEquals(2, prefixes.size());
        parts.advanceClock(1);
        prefixes.expire();
        assertEquals(0, prefixes.size());
    }

    @Test
    void evictionsCostNothingUntilMemoryIsNearlyFull() {
        prefixes.addHolder(request, r1);
        assertEquals(0, prefixes.evictionCost(r1, 500));
        r1.memoryShare = 0.95;
        assertTrue(prefixes.evictionCost(r1, 500) > 0);
        assertEquals(0, prefixes.evictionCost(r1, 0));
    }
}
