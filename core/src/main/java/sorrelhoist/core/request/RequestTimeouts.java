package sorrelhoist.core.request;

import java.util.List;

/**
 * How long requests may take.
 *
 * @param firstTokenMicros for each class: until the first token, where the client gave no timeout,
 *     in microseconds
 * @param firstTokenPer1000TokensMicros for each class: added for each 1,000 prompt tokens, in
 *     microseconds
 * @param deadlineMarginMicros by how much results come before a client's deadline, for the way back
 *     to it, in microseconds
 */
public record RequestTimeouts(
        List<Long> firstTokenMicros,
        List<Long> firstTokenPer1000TokensMicros,
        long deadlineMarginMicros) {}
