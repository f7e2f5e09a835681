package sorrelhoist.core.request;

/**
 * What can happen to what a request has reserved. Those that concern no running attempt change what
 * becomes of the next one.
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
