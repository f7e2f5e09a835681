package sorrelhoist.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingSettings;
import sorrelhoist.routing.RoutingSettings.Capabilities;
import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.IdempotencyScope;
import sorrelhoist.routing.RoutingSettings.LoadReportMode;
import sorrelhoist.routing.RoutingSettings.RequestClass;
import sorrelhoist.routing.RoutingSettings.Role;
import sorrelhoist.routing.RoutingSettings.ServerKind;
import sorrelhoist.routing.RoutingSettings.ServerLimits;
import sorrelhoist.routing.RoutingSettings.Tenant;

class SettingsDecoderTest {
    @Test
    void settingsAreTranslated() throws InvalidMessageException {
        RoutingSettings s = SettingsDecoder.decode(JsonObject.parse(SimulatorMessages.SETTINGS));
        assertEquals(
                List.of(
                        new RequestClass(
                                1_000_000,
                                40_000,
                                2.5,
                                Idempotency.SAFE,
                                IdempotencyScope.ZONE,
                                0)),
                s.classes());
        assertEquals(
                List.of(new ServerKind(Role.READ, 2000), new ServerKind(Role.WRITE, 3000)),
                s.serverKinds());
        assertEquals(List.of(new Tenant(4)), s.tenants());
        assertEquals(
                new Capabilities(5, true, false, true, 900_000, true, false, 0, 0),
                s.capabilities());
        assertEquals(new ServerLimits(0.26, 12_000_000, 3, 3_000_000, 500_000), s.serverLimits());
        assertEquals(LoadReportMode.IN_OUTCOMES, s.loadReportMode());
        assertFalse(s.subscribesToDiscovery());
    }
}
