package sorrelhoist.edge;

import sorrelhoist.core.request.AttemptId;
import sorrelhoist.core.request.InferenceRequest;
import sorrelhoist.protocol.engine.EngineApi;
import sorrelhoist.routing.Reason;

/**
 * One attempt of a request at one engine.
 *
 * @param phase the work that the engine is to do
 * @param id the attempt's id
 * @param engine the engine's id
 * @param requestName the name by which engines know the request
 * @param request the client's request
 * @param deadlineMicros the deadline of the attempt, in microseconds; Long.MAX_VALUE for none
 * @param reason the reason for the selection of this engine
 */
record EngineAttempt(
        Phase phase,
        AttemptId id,
        String engine,
        String requestName,
        InferenceRequest request,
        long deadlineMicros,
        Reason reason) {
    /** The phases of a request, each of which is a method of the engine. */
    enum Phase {
        PREFILL(EngineApi.PREFILL, "prefill"),
        DECODE(EngineApi.DECODE, "decode");

        private final String path;
        private final String spanName;

        Phase(String path, String spanName) {
            this.path = path;
            this.spanName = spanName;
        }

        /** Returns the gRPC path of the engine's method. */
        String path() {
            return path;
        }

        /** Returns the name of the attempt's trace span. */
        String spanName() {
            return spanName;
        }
    }
}
