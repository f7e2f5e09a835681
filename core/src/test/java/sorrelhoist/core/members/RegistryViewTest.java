package sorrelhoist.core.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.members.RegistryView.Change;
import sorrelhoist.core.members.RegistryView.Instance;

/** Tests the registry view with full fetches and deltas. */
class RegistryViewTest {
    private static Instance instance(String id, String status) {
        return new Instance("ENGINES", id, status, "127.0.0.1:1", Map.of());
    }

    @Test
    void viewIsCompleteOnlyWhileHashCodeMatches() {
        RegistryView view = new RegistryView();
        assertFalse(view.isComplete());
        view.replaceAll(List.of(instance("a", "UP"), instance("b", "UP")));
        assertEquals("UP_2_", view.statusHashCode());
        Change modified = new Change("MODIFIED", instance("b", "DOWN"));
        assertTrue(view.applyDelta(List.of(modified), "DOWN_1_UP_1_"));
        Change deleted = new Change("DELETED", instance("b", "DOWN"));
        assertTrue(view.applyDelta(List.of(deleted), "UP_1_"));
        assertFalse(view.applyDelta(List.of(), "UP_2_"));
        assertFalse(view.isComplete());
        view.replaceAll(List.of(instance("a", "UP")));
        assertTrue(view.isComplete());
    }
}
