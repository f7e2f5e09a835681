package sorrelhoist.core.request;

/**
 * Events that affect the reservations of a request. The {@code NEXT_} events apply to the next
 * attempt, the {@code RELEASE_} events to the next release, and {@link #READ_ENDS_AS_IT_IS_DROPPED}
 * and {@link #READ_ENDS_LONG_AFTER_ITS_DROP} to the next prefill that is cancelled.
 */
enum ReservationEvent {
    READ_ENDS,
    READ_LOST,
    READ_ENDS_AND_IS_LOST,
    READ_ENDS_AS_IT_IS_DROPPED,
    READ_ENDS_LONG_AFTER_ITS_DROP,
    WRITER_FULL,
    STATE_NOT_FETCHED,
    WRITER_RESET,
    WRITER_ERROR,
    NEXT_UNREACHABLE,
    NEXT_CONNECTION_HANGS,
    NEXT_SWALLOWED,
    TIME_PASSES,
    CLIENT_GONE,
    DEADLINE,
    SAME_ID_AGAIN,
    RELEASE_LOST,
    RELEASE_REFUSED,
    RELEASE_SLOW,
    WORKER_GONE
}
