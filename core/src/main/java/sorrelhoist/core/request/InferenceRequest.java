package sorrelhoist.core.request;

/**
 * A client's request for an answer.
 *
 * @param clientRequestId the ID that the client gave the request; may be empty
 * @param classIndex index of the request class
 * @param tenantIndex index of the tenant
 * @param session name of the session, or null for none
 * @param sharedPrefix name of the prompt prefix shared with other sessions, or null for none
 * @param sharedPrefixTokens length of the shared prefix, in tokens
 * @param prompt text of the prompt
 * @param promptTokens length of the prompt, in tokens
 * @param maxOutputTokens maximum number of tokens to generate, 1 or more
 * @param timeoutMicros the client's timeout for the whole answer, in microseconds; 0 if it set none
 * @param previousAttempts number of earlier attempts that the client's library reports
 * @param resumed whether the client already has the beginning of the answer and requests the rest
 * @param attachment object owned by the transport, passed back with commands; may be null
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
     * {@return a builder of a request for a whole answer, without session, shared prefix or
     * timeout}
     *
     * @param prompt text of the prompt
     * @param promptTokens length of the prompt, in tokens
     * @param maxOutputTokens maximum number of tokens to generate, 1 or more
     */
    public static Builder builder(String prompt, long promptTokens, int maxOutputTokens) {
        return new Builder(prompt, promptTokens, maxOutputTokens);
    }

    /** Builder of {@link InferenceRequest}. */
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

        /** Sets the ID that the client gave the request. {@return this} */
        public Builder clientRequestId(String id) {
            this.clientRequestId = id;
            return this;
        }

        /** Sets the index of the request class. {@return this} */
        public Builder classIndex(int index) {
            this.classIndex = index;
            return this;
        }

        /** Sets the index of the tenant. {@return this} */
        public Builder tenantIndex(int index) {
            this.tenantIndex = index;
            return this;
        }

        /** Sets the name of the session; null for none. {@return this} */
        public Builder session(String name) {
            this.session = name;
            return this;
        }

        /**
         * Sets the name and the length, in tokens, of the prompt prefix shared with other sessions;
         * null for none. {@return this}
         */
        public Builder sharedPrefix(String name, long tokens) {
            this.sharedPrefix = name;
            this.sharedPrefixTokens = tokens;
            return this;
        }

        /**
         * Sets the client's timeout for the whole answer, in microseconds; 0 for none. {@return
         * this}
         */
        public Builder timeoutMicros(long micros) {
            this.timeoutMicros = micros;
            return this;
        }

        /** Sets the number of earlier attempts that the client's library reports. {@return this} */
        public Builder previousAttempts(int attempts) {
            this.previousAttempts = attempts;
            return this;
        }

        /** Sets whether the client requests the rest of an answer. {@return this} */
        public Builder resumed(boolean rest) {
            this.resumed = rest;
            return this;
        }

        /** Sets the object that is passed back with commands; may be null. {@return this} */
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
