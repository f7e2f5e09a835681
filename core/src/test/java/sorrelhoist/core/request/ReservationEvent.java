package sorrelhoist.core.request;

/**
 * Events that affect the reservations of a request. The {@code NEXT_} events apply to the next
 * attempt, the {@code RELEASE_} events to the next release, and {@link
 * #PREFILL_ENDS_WHEN_CANCELLED} and {@link #PREFILL_ENDS_LONG_AFTER_CANCELLATION} to the next
 * prefill that is cancelled.
 */
enum ReservationEvent {
    PREFILL_ENDS,
    PREFILL_LOST,
    PREFILL_ENDS_AND_IS_LOST,
    PREFILL_ENDS_WHEN_CANCELLED,
    PREFILL_ENDS_LONG_AFTER_CANCELLATION,
    DECODE_ENGINE_FULL,
    STATE_NOT_FETCHED,
    DECODE_RESET,
    DECODE_ERROR,
    NEXT_UNREACHABLE,
    NEXT_CONNECTION_HANGS,
    NEXT_LOST_IN_TRANSIT,
    TIME_PASSES,
    CLIENT_GONE,
    DEADLINE,
    SAME_ID_AGAIN,
    RELEASE_LOST,
    RELEASE_REFUSED,
    RELEASE_SLOW,
    WORKER_REMOVED
}
