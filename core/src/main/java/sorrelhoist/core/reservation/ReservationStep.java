package sorrelhoist.core.reservation;

import java.util.Locale;

/** The events of a reservation, as recorded in its history. */
public enum ReservationStep {
    /** A resource is reserved, or may be. */
    HELD,
    /** An attempt of the request was sent. */
    SENT,
    /** The attempt waits for a connection to its engine. */
    CONNECTING,
    /** The last byte of the attempt was written. */
    WRITTEN,
    /** The delivery of the attempt to its engine was confirmed. */
    DELIVERED,
    /** The attempt was never sent. */
    NOT_SENT,
    /** The attempt was answered. */
    ANSWERED,
    /** The connection of the attempt broke. */
    LOST,
    /** The router abandoned the attempt. */
    GIVEN_UP,
    /** A stream started, which consumed the holds. */
    TAKEN,
    /** No attempt will consume the holds. */
    UNWANTED,
    /** A release was sent. */
    RELEASE_SENT,
    /** A release was answered, which proves that everything releasable is gone. */
    RELEASE_PROVEN,
    /** A release was answered, but the answer proves nothing. */
    RELEASE_UNPROVEN,
    /** A release failed, or was not answered. */
    RELEASE_FAILED,
    /** The releases in flight were abandoned. */
    RELEASES_ABANDONED,
    /** An awaited engine responded. */
    ENGINE_HEARD,
    /** An engine left the endpoint list. */
    ENGINE_REMOVED,
    /** No engine released the reservation in time. */
    EXPIRED;

    private final String label = name().toLowerCase(Locale.ROOT).replace('_', '-');

    /** {@return the name in log lines, in kebab case} */
    public String label() {
        return label;
    }

    static ReservationStep of(AttemptEnding ending) {
        return switch (ending) {
            case NOT_SENT -> NOT_SENT;
            case ANSWERED -> ANSWERED;
            case LOST -> LOST;
            case GIVEN_UP -> GIVEN_UP;
        };
    }
}
