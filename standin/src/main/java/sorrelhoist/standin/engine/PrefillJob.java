package sorrelhoist.standin.engine;

import sorrelhoist.protocol.engine.PrefillRequest;
import sorrelhoist.protocol.grpc.ServerCall;

/** A prompt that is being prefilled. */
final class PrefillJob {
    private final ServerCall call;
    private final PrefillRequest request;
    private final int cachedTokens;
    private final boolean replyLost;
    private int remainingTokens;

    /**
     * Creates a job.
     *
     * @param call where the reply goes
     * @param request what was asked for
     * @param cachedTokens tokens of the prompt that the prefix cache has
     * @param replyLost whether an injected fault swallows the reply
     */
    PrefillJob(ServerCall call, PrefillRequest request, int cachedTokens, boolean replyLost) {
        this.call = call;
        this.request = request;
        this.cachedTokens = cachedTokens;
        this.replyLost = replyLost;
        this.remainingTokens = Math.max(1, request.promptTokens() - cachedTokens);
    }

    ServerCall call() {
        return call;
    }

    PrefillRequest request() {
        return request;
    }

    int cachedTokens() {
        return cachedTokens;
    }

    boolean isReplyLost() {
        return replyLost;
    }

    int remainingTokens() {
        return remainingTokens;
    }

    /** Prefills up to so many tokens. {@return how many it were} */
    int prefill(int budget) {
        int tokens = Math.min(budget, remainingTokens);
        remainingTokens -= tokens;
        return tokens;
    }
}
