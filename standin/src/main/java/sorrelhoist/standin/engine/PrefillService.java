package sorrelhoist.standin.engine;

import sorrelhoist.protocol.engine.PrefillReply;
import sorrelhoist.protocol.engine.PrefillRequest;
import sorrelhoist.protocol.grpc.ServerCall;
import sorrelhoist.protocol.grpc.StatusCode;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.standin.TraceWriter;
import sorrelhoist.standin.engine.EngineTrace.Outcome;

/** The prefill method: queues prompts and, once they are prefilled, holds their state. */
final class PrefillService {
    /** What it reads and changes of the engine's state. */
    record State(
            WorkQueue queue, PrefillStateStore states, PrefixCache prefixCache, IdSequence ids) {}

    private final EngineSettings settings;
    private final State state;
    private final AdmissionController admission;
    private final InjectedFaults faults;
    private final CallResponder responder;
    private final EngineTrace trace;
    private final Runnable wakeUp;

    PrefillService(
            EngineSettings settings,
            State state,
            AdmissionController admission,
            InjectedFaults faults,
            CallResponder responder,
            EngineTrace trace,
            Runnable wakeUp) {
        this.settings = settings;
        this.state = state;
        this.admission = admission;
        this.faults = faults;
        this.responder = responder;
        this.trace = trace;
        this.wakeUp = wakeUp;
    }

    ServerCall.Listener accept(ServerCall call) {
        PrefillCall prefill = new PrefillCall(call);
        return new SingleRequestListener(call, responder, prefill::receive, prefill::cancel);
    }

    private final class PrefillCall {
        private final ServerCall call;
        private PrefillJob job;

        PrefillCall(ServerCall call) {
            this.call = call;
        }

        void receive(byte[] message) throws ProtoException {
            PrefillRequest request = PrefillRequest.parse(message);
            trace.prefillReceived(request);
            String rejection = rejectionReason(request);
            if (rejection != null) {
                fail(request, Outcome.REJECTED, StatusCode.RESOURCE_EXHAUSTED, rejection);
            } else if (faults.failsRequest(TraceWriter.nowMicros())) {
                fail(request, Outcome.FAILED, StatusCode.INTERNAL, InjectedFaults.ERROR_MESSAGE);
            } else {
                int matched = state.prefixCache().match(request.prompt());
                int cachedTokens = Math.min(matched, request.promptTokens());
                boolean replyLost = faults.losesReply(TraceWriter.nowMicros());
                job = new PrefillJob(call, request, cachedTokens, replyLost);
                state.queue().add(job);
                wakeUp.run();
            }
        }

        private void fail(
                PrefillRequest request, Outcome outcome, StatusCode code, String message) {
            trace.prefillEnded(request, outcome);
            responder.fail(call, code, message);
        }

        void cancel() {
            if (job != null && state.queue().remove(job)) {
                trace.prefillEnded(job.request(), Outcome.CANCELLED);
            }
        }
    }

    private String rejectionReason(PrefillRequest request) {
        return settings.servesPrefill()
                ? admission.rejectionReason(state.queue().prefillCount(), request.promptTokens())
                : "this engine reads no prompts";
    }

    /** Ends a job whose prompt is prefilled, and which has left the queue. */
    void complete(PrefillJob job) {
        PrefillRequest request = job.request();
        state.prefixCache().add(request.prompt());
        trace.prefillEnded(request, job.isReplyLost() ? Outcome.LOST : Outcome.PREFILLED);
        if (job.isReplyLost()) {
            return;
        }
        PrefillState prefillState =
                new PrefillState(
                        state.ids().nextStateId(),
                        request.requestId(),
                        request.attempt(),
                        request.promptTokens(),
                        TokenGenerator.digest(request.clientId(), request.prompt()),
                        TraceWriter.nowMicros());
        state.states().hold(prefillState, request.clientId());
        PrefillReply reply = new PrefillReply(prefillState.id(), job.cachedTokens());
        responder.reply(job.call(), reply.toByteArray());
    }
}
