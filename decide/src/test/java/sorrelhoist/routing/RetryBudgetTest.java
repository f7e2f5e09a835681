package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    @Test
    void arrivalsEarnRetriesUpToABound() {
        RetryBudget budget = new RetryBudget(new PolicyParts().context);
        for (int i = 0; i < 100; i++) {
            budget.recordArrival();
        }
        assertEquals(12.5, budget.available(), "two routers share 25 saved retries");
        for (int i = 0; i < 12; i++) {
            assertFalse(budget.isExhausted());
            budget.spend();
        }
        assertTrue(budget.isExhausted());
        budget.recordArrival();
        budget.recordArrival();
        assertFalse(budget.isExhausted());
    }
}
