package sorrelhoist.core.life;

/**
 * What a client asks for.
 *
 * @param clientId its own name for it; may be empty
 * @param cls index of its class
 * @param tenant index of its tenant
 * @param session the conversation, or null
 * @param prefix the beginning shared with other sessions, or null
 * @param prefixTokens tokens of that beginning
 * @param prompt the text
 * @param promptTokens tokens of the text
 * @param maxTokens the most that may be answered, 1 or more
 * @param timeoutMicros until the client gives up on the whole answer; 0 where it did not say
 * @param previousAttempts how often the client's own library has tried before, as it marks it
 * @param resumed whether the client has the beginning of the answer already and asks for the rest
 * @param trace the carrier's own, handed back with commands; may be null
 */
public record Call(
        String clientId,
        int cls,
        int tenant,
        String session,
        String prefix,
        long prefixTokens,
        String prompt,
        long promptTokens,
        int maxTokens,
        long timeoutMicros,
        int previousAttempts,
        boolean resumed,
        Object trace) {
    /** A call for a whole answer. */
    public Call(
            String clientId,
            int cls,
            int tenant,
            String session,
            String prefix,
            long prefixTokens,
            String prompt,
            long promptTokens,
            int maxTokens,
            long timeoutMicros,
            int previousAttempts,
            Object trace) {
        this(
                clientId,
                cls,
                tenant,
                session,
                prefix,
                prefixTokens,
                prompt,
                promptTokens,
                maxTokens,
                timeoutMicros,
                previousAttempts,
                false,
                trace);
    }
}
