package sorrelhoist.standin.engine;

import sorrelhoist.protocol.engine.DecodeRequest;
import sorrelhoist.protocol.engine.PrefillRequest;
import sorrelhoist.protocol.grpc.ServerCall;

/** What an engine works on and holds. */
final class Jobs {
    private Jobs() {}

    /** A prompt being read. */
    static final class Read {
        final ServerCall call;
        final PrefillRequest request;
        final int kept;
        final boolean lost;
        int left;

        Read(ServerCall call, PrefillRequest request, int kept, boolean lost) {
            this.call = call;
            this.request = request;
            this.kept = kept;
            this.lost = lost;
            this.left = Math.max(1, request.promptTokens() - kept);
        }
    }

    /** A read state that waits. */
    record State(String id, String request, int attempt, int tokens, long digest, long at) {}

    /** A place held ahead. */
    record Place(String id, String request, int tokens, long at) {}

    /** An answer, from its wait for a slot to its last token. */
    static final class Write {
        final ServerCall call;
        final DecodeRequest request;
        final boolean lost;
        int left;
        int next;
        int total;
        long digest;
        boolean ready;
        boolean ran;

        Write(ServerCall call, DecodeRequest request, boolean lost) {
            this.call = call;
            this.request = request;
            this.lost = lost;
            this.next = request.firstTokenIndex();
        }

        int tokens() {
            return request.promptTokens() + request.maxTokens();
        }

        /** The true length, which nobody is told: from two fifths to all of what is allowed. */
        void begin(long promptDigest) {
            digest = promptDigest;
            double part = 0.4 + 0.6 * (digest >>> 11) / (double) (1L << 53);
            total =
                    Math.max(
                            1,
                            Math.min(
                                    request.maxTokens(),
                                    (int) Math.ceil(part * request.maxTokens())));
            total = Math.max(total, next);
            ready = true;
        }
    }
}
