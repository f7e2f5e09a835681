package sorrelhoist.core.request;

/**
 * What a client asks for.
 *
 * @param clientRequestId its own name for it; may be empty
 * @param classIndex index of its class
 * @param tenantIndex index of its tenant
 * @param session the conversation, or null
 * @param sharedPrefix the beginning shared with other sessions, or null
 * @param sharedPrefixTokens tokens of that beginning
 * @param prompt the text
 * @param promptTokens tokens of the text
 * @param maxOutputTokens the most that may be answered, 1 or more
 * @param timeoutMicros until the client gives up on the whole answer; 0 where it did not say
 * @param previousAttempts how often the client's own library has tried before, as it marks it
 * @param resumed whether the client has the beginning of the answer already and asks for the rest
 * @param attachment the carrier's own, handed back with commands; may be null
 */
public record InferenceRequest(
        String clientRequestId,
        int classIndex,
        int tenantIndex,
        String session,
        String sharedPrefix,
        long sharedPrefixTokens,
        String prompt,
        long promptTokens,
        int maxOutputTokens,
        long timeoutMicros,
        int previousAttempts,
        boolean resumed,
        Object attachment) {
    /** A call for a whole answer. */
    public InferenceRequest(
            String clientRequestId,
            int classIndex,
            int tenantIndex,
            String session,
            String sharedPrefix,
            long sharedPrefixTokens,
            String prompt,
            long promptTokens,
            int maxOutputTokens,
            long timeoutMicros,
            int previousAttempts,
            Object attachment) {
        this(
                clientRequestId,
                classIndex,
                tenantIndex,
                session,
                sharedPrefix,
                sharedPrefixTokens,
                prompt,
                promptTokens,
                maxOutputTokens,
                timeoutMicros,
                previousAttempts,
                false,
                attachment);
    }
}
