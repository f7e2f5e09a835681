package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingActions.FetchList;

class RoutingContextTest {
    @Test
    void eachEventHasItsOwnActionsAndTimeNeverGoesBack() {
        RoutingContext context = new RoutingContext(Fixtures.defaultSettings(), 1);
        context.beginEvent(5);
        assertTrue(context.markStarted());
        assertFalse(context.markStarted());
        context.emit(new FetchList());
        assertEquals(List.of(new FetchList()), context.actions());
        context.beginEvent(8);
        assertEquals(List.of(), context.actions());
        assertEquals(3, context.uptime());
        assertThrows(IllegalArgumentException.class, () -> context.beginEvent(7));
    }
}
