package sorrelhoist.standin.registry;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * One registered instance.
 *
 * @param app its application's name, upper case
 * @param id its instance id
 * @param info the instance as registered
 * @param status what it said of itself
 * @param override what an operator said instead, or null
 * @param renewedAt last heartbeat, microseconds
 * @param durationMicros after which it expires without one
 * @param changedAt last change, microseconds
 */
record Lease(
        String app,
        String id,
        ObjectNode info,
        String status,
        String override,
        long renewedAt,
        long durationMicros,
        long changedAt) {
    String effective() {
        return override != null ? override : status;
    }

    Lease renewed(long now) {
        return new Lease(app, id, info, status, override, now, durationMicros, changedAt);
    }

    Lease with(String newStatus, String newOverride, long now) {
        return new Lease(app, id, info, newStatus, newOverride, renewedAt, durationMicros, now);
    }

    boolean expired(long now) {
        return now - renewedAt > durationMicros;
    }
}
