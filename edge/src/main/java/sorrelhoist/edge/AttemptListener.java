package sorrelhoist.edge;

import sorrelhoist.core.request.AttemptId;
import sorrelhoist.core.request.Router;
import sorrelhoist.protocol.engine.EngineApi;
import sorrelhoist.protocol.engine.LoadReport;
import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.ServerLoad;

/**
 * Handles an engine's response to an attempt, on the connection's network thread, and reports the
 * end of the attempt to the router. Subclasses parse the response messages.
 */
abstract class AttemptListener implements ClientCall.Listener {
    /** Outcome detail: the engine did not find the prefill state that it was to fetch. */
    private static final int DETAIL_STATE_MISSING = 1;

    private static final int NO_DETAIL = 0;

    final RouterEventLoop router;
    final AttemptId attempt;
    private final EngineAttempts attempts;

    AttemptListener(RouterEventLoop router, EngineAttempts attempts, AttemptId attempt) {
        this.router = router;
        this.attempts = attempts;
        this.attempt = attempt;
    }

    /**
     * Reports a complete response to the router. Called on the router's thread.
     *
     * @return false if the response is incomplete although the call ended with status OK
     */
    abstract boolean reportCompleted(Router r, ServerLoad load);

    @Override
    public void onClose(
            ClientCall call, Status status, Headers trailers, ClientCall.Termination termination) {
        if (termination == ClientCall.Termination.CANCELLED) {
            return; // cancelled by the router, which needs no report
        }
        ServerLoad load = serverLoad(trailers);
        router.execute(r -> reportEnd(r, status, termination, load));
    }

    private void reportEnd(
            Router r, Status status, ClientCall.Termination termination, ServerLoad load) {
        EngineAttempts.InFlight ended = attempts.remove(attempt);
        if (ended == null) {
            return;
        }
        boolean ok = termination == ClientCall.Termination.STATUS && status.isOk();
        if (ok && reportCompleted(r, load)) {
            attempts.traceEnd(ended, Tracing.ATTEMPT_DONE);
            return;
        }
        Outcome outcome = ok ? Outcome.ERROR : AttemptOutcomes.of(status, termination);
        attempts.traceEnd(ended, outcome.toString());
        boolean stateMissing = AttemptOutcomes.isStateMissing(status, termination);
        r.attemptFailed(
                router.now(),
                attempt,
                outcome,
                stateMissing ? DETAIL_STATE_MISSING : NO_DETAIL,
                load);
    }

    /**
     * Cancels a call whose engine sent a malformed message, and fails the attempt with {@link
     * Outcome#ERROR}: the engine may have executed it.
     */
    final void failMalformed(ClientCall call) {
        call.cancel();
        router.execute(
                r -> {
                    EngineAttempts.InFlight ended = attempts.remove(attempt);
                    if (ended != null) {
                        attempts.traceEnd(ended, Tracing.ATTEMPT_MALFORMED);
                        r.attemptFailed(
                                router.now(), attempt, Outcome.ERROR, NO_DETAIL, ServerLoad.NONE);
                    }
                });
    }

    private static ServerLoad serverLoad(Headers trailers) {
        LoadReport report = EngineApi.loadReport(trailers);
        return report == null
                ? ServerLoad.NONE
                : new ServerLoad(
                        report.memoryUtilization(),
                        report.queuedTokens(),
                        report.inFlightRequests(),
                        report.queuedRequests());
    }
}
