package sorrelhoist.standin.engine;

/**
 * The result of a prefill, held until a decoding engine fetches it.
 *
 * @param id its id
 * @param requestId the router's id of the request
 * @param attempt the number of the attempt that made it
 * @param tokens tokens of the prompt, which is the memory it takes
 * @param digest the seed of the answer, see {@link TokenGenerator#digest}
 * @param heldSinceMicros when it was made, microseconds since 1970
 */
record PrefillState(
        String id, String requestId, int attempt, int tokens, long digest, long heldSinceMicros) {}
