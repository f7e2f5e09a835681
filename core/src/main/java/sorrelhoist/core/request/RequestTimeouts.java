package sorrelhoist.core.request;

import java.util.List;

/**
 * Time limits of requests.
 *
 * @param firstTokenMicros for each request class: timeout for the first token, in microseconds,
 *     before the extension for the length of the prompt; the client's deadline applies if it is
 *     earlier
 * @param firstTokenPer1000TokensMicros for each request class: extension of that timeout per 1,000
 *     prompt tokens, in microseconds
 * @param deadlineMarginMicros how long before the client's deadline a result has to be ready, to
 *     leave time for its transfer to the client, in microseconds
 */
public record RequestTimeouts(
        List<Long> firstTokenMicros,
        List<Long> firstTokenPer1000TokensMicros,
        long deadlineMarginMicros) {}
