package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sorrelhoist.routing.Fixtures.settings;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.IdempotencyScope;
import sorrelhoist.routing.RoutingSettings.LoadReportMode;
import sorrelhoist.routing.RoutingSettings.Tenant;

/**
 * Tests the five rules of {@link RandomHistory} over long random legal histories with fixed seeds
 * and varied settings.
 */
class RulesTest {

    @Test
    void theRulesHoldOverRandomHistories() {
        List<RoutingSettings> variants = new ArrayList<>();
        for (Idempotency idempotency : Idempotency.values()) {
            for (IdempotencyScope scope : IdempotencyScope.values()) {
                variants.add(variant(idempotency, scope, variants.size()));
            }
        }
        for (int seed = 0; seed < 2 * variants.size(); seed++) {
            RandomHistory h = new RandomHistory(variants.get(seed % variants.size()), seed);
            h.run();
            assertTrue(
                    h.served > 100 && h.refused + h.failed > 0,
                    "too few served or no unserved requests in the history: seed " + seed);
        }
    }

    private static RoutingSettings variant(
            Idempotency idempotency, IdempotencyScope scope, int number) {
        boolean odd = number % 2 == 1;
        SettingsBuilder builder = new SettingsBuilder();
        builder.idempotency = idempotency;
        builder.idempotencyScope = scope;
        builder.decodersMayPrefill = odd;
        builder.tenants = odd ? List.of(new Tenant(3), new Tenant(9)) : List.of();
        builder.connected = odd;
        builder.loadReportMode = LoadReportMode.values()[number % 3];
        builder.probes = odd;
        builder.cancel = number % 3 != 0;
        builder.maxAttempts = 2 + number % 5;
        return builder.build();
    }

    @Test
    void equalEventsGiveEqualActions() {
        RoutingSettings s = settings(Idempotency.SAFE, IdempotencyScope.ALL, false, List.of());
        RandomHistory a = new RandomHistory(s, 5);
        RandomHistory b = new RandomHistory(s, 5);
        a.run();
        b.run();
        assertEquals(a.log.toString(), b.log.toString());
        RandomHistory c = new RandomHistory(s, 6);
        c.run();
        assertNotEquals(a.log.toString(), c.log.toString());
    }
}
