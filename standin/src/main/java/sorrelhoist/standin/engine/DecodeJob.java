package sorrelhoist.standin.engine;

import sorrelhoist.protocol.engine.DecodeRequest;
import sorrelhoist.protocol.engine.Token;
import sorrelhoist.protocol.grpc.ServerCall;

/** An answer, from its wait for a slot to its last token. */
final class DecodeJob {
    /** The shortest answer, as a share of the tokens that the request allows. */
    private static final double MIN_LENGTH_SHARE = 0.4;

    private final ServerCall call;
    private final DecodeRequest request;
    private final boolean replyLost;
    private int remainingPromptTokens;
    private int nextToken;
    private int totalTokens;
    private long digest;
    private boolean ready;
    private boolean ran;

    /**
     * Creates a job.
     *
     * @param call where the tokens go
     * @param request what was asked for
     * @param replyLost whether an injected fault swallows the answer
     */
    DecodeJob(ServerCall call, DecodeRequest request, boolean replyLost) {
        this.call = call;
        this.request = request;
        this.replyLost = replyLost;
        this.nextToken = request.firstTokenIndex();
    }

    ServerCall call() {
        return call;
    }

    DecodeRequest request() {
        return request;
    }

    boolean isReplyLost() {
        return replyLost;
    }

    /** {@return the memory it takes, in tokens} */
    int memoryTokens() {
        return request.promptTokens() + request.maxTokens();
    }

    /** Has the engine prefill the prompt itself, as there is no state to fetch. */
    void prefillLocally(int tokens) {
        remainingPromptTokens = tokens;
    }

    int remainingPromptTokens() {
        return remainingPromptTokens;
    }

    /** Prefills up to so many tokens of the prompt. {@return how many it were} */
    int prefill(int budget) {
        int tokens = Math.min(budget, remainingPromptTokens);
        remainingPromptTokens -= tokens;
        return tokens;
    }

    /**
     * Gives the job the state of its prompt, from which the answer and its length follow. Nobody is
     * told the length, which is from two fifths to all of what the request allows.
     */
    void becomeReady(long promptDigest) {
        digest = promptDigest;
        double uniform = (digest >>> 11) / (double) (1L << 53);
        double share = MIN_LENGTH_SHARE + (1 - MIN_LENGTH_SHARE) * uniform;
        int length = (int) Math.ceil(share * request.maxTokens());
        int allowed = Math.max(1, Math.min(request.maxTokens(), length));
        totalTokens = Math.max(allowed, nextToken);
        ready = true;
    }

    /** {@return whether the state of the prompt is there} */
    boolean isReady() {
        return ready;
    }

    /** {@return whether each step gives a token from now on} */
    boolean isDecoding() {
        return ready && remainingPromptTokens == 0;
    }

    /** Marks that decoding has begun. {@return whether this was the first time} */
    boolean markRan() {
        boolean first = !ran;
        ran = true;
        return first;
    }

    int nextTokenIndex() {
        return nextToken;
    }

    boolean isComplete() {
        return nextToken >= totalTokens;
    }

    Token takeToken() {
        Token token = new Token(nextToken, TokenGenerator.token(digest, nextToken));
        nextToken++;
        return token;
    }
}
