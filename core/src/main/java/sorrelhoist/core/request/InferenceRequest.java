package sorrelhoist.core.request;

/**
 * What a client asks for.
 *
 * @param clientRequestId the client's own name for it; may be empty
 * @param classIndex index of its class
 * @param tenantIndex index of its tenant
 * @param session the conversation, or null
 * @param sharedPrefix the beginning shared with other sessions, or null
 * @param sharedPrefixTokens tokens of that beginning
 * @param prompt the text
 * @param promptTokens tokens of the text
 * @param maxOutputTokens the most that may be generated, 1 or more
 * @param timeoutMicros until the client gives up on the whole answer, in microseconds; 0 where it
 *     did not say
 * @param previousAttempts how often the client's own library has tried before, as it marks it
 * @param resumed whether the client has the beginning of the answer already and asks for the rest
 * @param attachment the transport's own, handed back with commands; may be null
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
    /**
     * {@return a builder of a request for a whole answer, without session, prefix and timeout}
     *
     * @param prompt the text
     * @param promptTokens its tokens
     * @param maxOutputTokens the most that may be generated, 1 or more
     */
    public static Builder builder(String prompt, long promptTokens, int maxOutputTokens) {
        return new Builder(prompt, promptTokens, maxOutputTokens);
    }

    /** Builds a request. */
    public static final class Builder {
        private final String prompt;
        private final long promptTokens;
        private final int maxOutputTokens;
        private String clientRequestId = "";
        private int classIndex;
        private int tenantIndex;
        private String session;
        private String sharedPrefix;
        private long sharedPrefixTokens;
        private long timeoutMicros;
        private int previousAttempts;
        private boolean resumed;
        private Object attachment;

        private Builder(String prompt, long promptTokens, int maxOutputTokens) {
            this.prompt = prompt;
            this.promptTokens = promptTokens;
            this.maxOutputTokens = maxOutputTokens;
        }

        /** Sets the client's own name for it. {@return this} */
        public Builder clientRequestId(String id) {
            this.clientRequestId = id;
            return this;
        }

        /** Sets the index of its class. {@return this} */
        public Builder classIndex(int index) {
            this.classIndex = index;
            return this;
        }

        /** Sets the index of its tenant. {@return this} */
        public Builder tenantIndex(int index) {
            this.tenantIndex = index;
            return this;
        }

        /** Sets the conversation; null for none. {@return this} */
        public Builder session(String name) {
            this.session = name;
            return this;
        }

        /** Sets the beginning shared with other sessions; null for none. {@return this} */
        public Builder sharedPrefix(String name, long tokens) {
            this.sharedPrefix = name;
            this.sharedPrefixTokens = tokens;
            return this;
        }

        /** Sets when the client gives up, in microseconds; 0 for never. {@return this} */
        public Builder timeoutMicros(long micros) {
            this.timeoutMicros = micros;
            return this;
        }

        /** Sets how often the client's library has tried before. {@return this} */
        public Builder previousAttempts(int attempts) {
            this.previousAttempts = attempts;
            return this;
        }

        /** Sets whether the client asks for the rest of an answer. {@return this} */
        public Builder resumed(boolean rest) {
            this.resumed = rest;
            return this;
        }

        /** Sets what is handed back with commands. {@return this} */
        public Builder attachment(Object object) {
            this.attachment = object;
            return this;
        }

        /** {@return the request} */
        public InferenceRequest build() {
            return new InferenceRequest(
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
                    resumed,
                    attachment);
        }
    }
}
