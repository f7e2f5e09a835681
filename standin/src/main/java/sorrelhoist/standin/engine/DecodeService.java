package sorrelhoist.standin.engine;

import sorrelhoist.protocol.engine.DecodeEvent;
import sorrelhoist.protocol.engine.DecodeRequest;
import sorrelhoist.protocol.engine.Finish;
import sorrelhoist.protocol.grpc.ServerCall;
import sorrelhoist.protocol.grpc.StatusCode;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.standin.TraceWriter;
import sorrelhoist.standin.engine.EngineTrace.Outcome;

/** The decode method: queues requests, gets the state of their prompts and streams the tokens. */
final class DecodeService {
    /** A stream whose client has this much unread gets no further tokens for now. */
    private static final int MAX_PENDING_BYTES = 32 << 10;

    /** What it reads and changes of the engine's state. */
    record State(
            WorkQueue queue,
            SlotReservations reservations,
            PrefixCache prefixCache,
            RemoteStateFetcher stateFetcher) {}

    private final EngineSettings settings;
    private final State state;
    private final AdmissionController admission;
    private final InjectedFaults faults;
    private final CallResponder responder;
    private final EngineTrace trace;
    private final Runnable wakeUp;

    DecodeService(
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
        DecodeCall decode = new DecodeCall(call);
        return new SingleRequestListener(call, responder, decode::receive, decode::cancel);
    }

    private final class DecodeCall {
        private final ServerCall call;
        private DecodeJob job;

        DecodeCall(ServerCall call) {
            this.call = call;
        }

        void receive(byte[] message) throws ProtoException {
            DecodeRequest request = DecodeRequest.parse(message);
            trace.decodeReceived(request);
            // The reservation counts as memory in use until after the check.
            String rejection = rejectionReason(request);
            boolean reserved = state.reservations().remove(request.reservationId());
            boolean canPrefill = settings.readsItself() || settings.servesPrefill();
            if (rejection != null && !reserved) {
                fail(request, Outcome.REJECTED, StatusCode.RESOURCE_EXHAUSTED, rejection);
            } else if (request.stateId().isEmpty() && !canPrefill) {
                fail(
                        request,
                        Outcome.NO_STATE,
                        StatusCode.FAILED_PRECONDITION,
                        "no state to fetch, and this engine reads no prompts");
            } else if (faults.failsRequest(TraceWriter.nowMicros())) {
                fail(request, Outcome.FAILED, StatusCode.INTERNAL, InjectedFaults.ERROR_MESSAGE);
            } else {
                boolean replyLost = faults.losesReply(TraceWriter.nowMicros());
                job = new DecodeJob(call, request, replyLost);
                state.queue().add(job);
                wakeUp.run();
            }
        }

        private void fail(DecodeRequest request, Outcome outcome, StatusCode code, String message) {
            trace.decodeEnded(request, outcome, 0);
            responder.fail(call, code, message);
        }

        void cancel() {
            if (job != null && state.queue().remove(job)) {
                trace.decodeEnded(job.request(), Outcome.CANCELLED, job.nextTokenIndex());
                wakeUp.run();
            }
        }
    }

    private String rejectionReason(DecodeRequest request) {
        int decodes = state.queue().runningDecodeCount() + state.queue().waitingDecodeCount();
        return settings.servesDecode()
                ? admission.rejectionReason(decodes, request.promptTokens())
                : "this engine writes no answers";
    }

    /** Gets the state of the prompt of a job that was just given a slot. */
    void begin(DecodeJob job) {
        DecodeRequest request = job.request();
        if (request.stateId().isEmpty()) {
            int cachedTokens = state.prefixCache().match(request.prompt());
            job.prefillLocally(Math.max(1, request.promptTokens() - cachedTokens));
            state.prefixCache().add(request.prompt());
            job.becomeReady(TokenGenerator.digest(request.clientId(), request.prompt()));
        } else {
            state.stateFetcher().fetch(request, new FetchedState(job));
        }
    }

    private final class FetchedState implements RemoteStateFetcher.Callback {
        private final DecodeJob job;

        FetchedState(DecodeJob job) {
            this.job = job;
        }

        @Override
        public boolean isWanted() {
            return state.queue().isRunning(job);
        }

        @Override
        public void fetched(long digest) {
            job.becomeReady(digest);
            wakeUp.run();
        }

        @Override
        public void failed(String message) {
            state.queue().remove(job);
            trace.decodeEnded(job.request(), Outcome.NO_STATE, 0);
            responder.fail(
                    job.call(),
                    StatusCode.FAILED_PRECONDITION,
                    "the state cannot be fetched: " + message);
        }
    }

    /** Sends the next token of a running job, and ends the job after its last token. */
    void emitToken(DecodeJob job) {
        if (job.markRan()) {
            trace.decodeRan(job.request());
        }
        if (job.isReplyLost()) {
            state.queue().remove(job);
            trace.decodeEnded(job.request(), Outcome.LOST, job.nextTokenIndex());
            return;
        }
        if (job.call().pendingBytes() > MAX_PENDING_BYTES) {
            return;
        }
        if (!job.isComplete()) {
            job.call().send(new DecodeEvent(job.takeToken(), null).toByteArray());
        }
        if (job.isComplete()) {
            state.queue().remove(job);
            int tokens = job.nextTokenIndex();
            trace.decodeEnded(job.request(), Outcome.DECODED, tokens);
            responder.reply(job.call(), new DecodeEvent(null, new Finish(tokens, 0)).toByteArray());
        }
    }
}
