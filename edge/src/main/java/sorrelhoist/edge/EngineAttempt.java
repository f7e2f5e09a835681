package sorrelhoist.edge;

import sorrelhoist.core.request.AttemptId;
import sorrelhoist.core.request.InferenceRequest;
import sorrelhoist.protocol.engine.EngineApi;
import sorrelhoist.routing.Reason;

/**
 * One attempt of a request at one engine.
 *
 * @param phase what the engine is to do
 * @param id names the attempt
 * @param engine the engine's id
 * @param requestName the request's name at engines
 * @param request what the client asked for
 * @param deadlineMicros when the attempt is cancelled; Long.MAX_VALUE for never
 * @param reason why this engine was selected
 */
record EngineAttempt(
        Phase phase,
        AttemptId id,
        String engine,
        String requestName,
        InferenceRequest request,
        long deadlineMicros,
        Reason reason) {
    /** The two phases of a request. */
    enum Phase {
        PREFILL(EngineApi.PREFILL, "prefill"),
        DECODE(EngineApi.DECODE, "decode");

        private final String path;
        private final String spanName;

        Phase(String path, String spanName) {
            this.path = path;
            this.spanName = spanName;
        }

        /** {@return the path of the engine's method} */
        String path() {
            return path;
        }

        /** {@return the name of the attempt's trace span} */
        String spanName() {
            return spanName;
        }
    }
}
