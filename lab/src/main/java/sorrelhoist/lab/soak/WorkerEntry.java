package sorrelhoist.lab.soak;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * One worker as discovery lists it for one router.
 *
 * @param uid its id, the same at every router
 * @param endpoint where that router reaches it
 * @param role what it does
 * @param cell its group
 * @param state whether it takes new work
 * @param bootMillis when it started, by its own wall clock; 0 for long ago
 */
public record WorkerEntry(
        String uid, String endpoint, Role role, int cell, State state, long bootMillis) {
    /** What a worker does. */
    public enum Role {
        READ,
        WRITE;

        String model() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    /** A worker's state in discovery's words. */
    public enum State {
        ACTIVE("active"),
        LEAVING("leaving"),
        LEFT("left");

        private final String word;

        State(String word) {
            this.word = word;
        }
    }

    ObjectNode json() {
        return JsonNodeFactory.instance
                .objectNode()
                .put("uid", uid)
                .put("endpoint", endpoint)
                .put("az", "z")
                .put("model", role.model())
                .put("pod_group", cell)
                .put("state", state.word)
                .put("capacity_hint", 1.0)
                .put("boot_ms", bootMillis);
    }
}
