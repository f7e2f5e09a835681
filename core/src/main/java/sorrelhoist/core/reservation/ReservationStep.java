package sorrelhoist.core.reservation;

import java.util.Locale;

/** What can happen to a reservation, as its history names it. */
public enum ReservationStep {
    /** Something is held, or may be. */
    HELD,
    /** An attempt of the request was sent. */
    SENT,
    /** The attempt waits for its connection. */
    CONNECTING,
    /** The attempt's last byte was written. */
    WRITTEN,
    /** Something shows that the attempt's engine has it. */
    DELIVERED,
    /** The attempt was never sent. */
    NOT_SENT,
    /** The attempt was answered. */
    ANSWERED,
    /** The attempt's connection broke. */
    LOST,
    /** The attempt was given up. */
    GIVEN_UP,
    /** A stream began, which took what is held. */
    TAKEN,
    /** Nothing will take what is held. */
    UNWANTED,
    /** A release was sent. */
    RELEASE_SENT,
    /** A release was answered, and proves that what could be released is gone. */
    RELEASE_PROVEN,
    /** A release was answered, and proves nothing. */
    RELEASE_UNPROVEN,
    /** A release was not answered, or by an error. */
    RELEASE_FAILED,
    /** The answers of releases under way do not matter any more. */
    RELEASES_ABANDONED,
    /** An engine that had to be heard first was heard. */
    ENGINE_HEARD,
    /** An engine left the endpoint list. */
    ENGINE_REMOVED,
    /** No engine has released it in time. */
    EXPIRED;

    private final String label = name().toLowerCase(Locale.ROOT).replace('_', '-');

    /** {@return its name in log lines} */
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
