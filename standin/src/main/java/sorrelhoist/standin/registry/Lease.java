package sorrelhoist.standin.registry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;

/**
 * One registered instance.
 *
 * @param application the name of its application, upper case
 * @param instanceId its id
 * @param info the instance as it was registered
 * @param ownStatus the status that it reports
 * @param overriddenStatus the status that an operator set in its place, or null
 * @param renewedAtMicros the last renewal, microseconds since 1970
 * @param durationMicros microseconds after which it expires without a renewal
 * @param changedAtMicros the last change, microseconds since 1970
 */
record Lease(
        String application,
        String instanceId,
        ObjectNode info,
        String ownStatus,
        String overriddenStatus,
        long renewedAtMicros,
        long durationMicros,
        long changedAtMicros) {
    /** {@return the key of an instance; the case of the application's name does not matter} */
    static String key(String application, String instanceId) {
        return application.toUpperCase(Locale.ROOT) + "/" + instanceId;
    }

    String key() {
        return key(application, instanceId);
    }

    /** {@return the status that is published} */
    String status() {
        return overriddenStatus != null ? overriddenStatus : ownStatus;
    }

    Lease renewed(long nowMicros) {
        return new Lease(
                application,
                instanceId,
                info,
                ownStatus,
                overriddenStatus,
                nowMicros,
                durationMicros,
                changedAtMicros);
    }

    Lease withStatus(String newOwnStatus, String newOverriddenStatus, long nowMicros) {
        return new Lease(
                application,
                instanceId,
                info,
                newOwnStatus,
                newOverriddenStatus,
                renewedAtMicros,
                durationMicros,
                nowMicros);
    }

    boolean isExpired(long nowMicros) {
        return nowMicros - renewedAtMicros > durationMicros;
    }
}
