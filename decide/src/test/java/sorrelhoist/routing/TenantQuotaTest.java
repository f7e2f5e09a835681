package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sorrelhoist.routing.Fixtures.SECOND;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.IdempotencyScope;
import sorrelhoist.routing.RoutingSettings.Tenant;

class TenantQuotaTest {
    @Test
    void aTenantMaySaveUpFewRequestsAndEarnsItsPartOfTheQuota() {
        List<Tenant> tenants = List.of(new Tenant(1), new Tenant(100));
        PolicyParts parts =
                new PolicyParts(
                        Fixtures.settings(Idempotency.SAFE, IdempotencyScope.ALL, false, tenants),
                        Fixtures.fleet());
        TenantQuota quota = new TenantQuota(parts.context);
        for (int i = 0; i < 4; i++) {
            assertFalse(quota.isExceededBy(0));
        }
        assertTrue(quota.isExceededBy(0));
        assertFalse(quota.isExceededBy(1), "each tenant has its own quota");
        assertFalse(quota.isExceededBy(2), "a tenant that is not listed has no quota");
        parts.advanceClock(2 * SECOND);
        assertFalse(
                quota.isExceededBy(0), "half a request per second, as two routers share the fleet");
        assertTrue(quota.isExceededBy(0));
    }
}
