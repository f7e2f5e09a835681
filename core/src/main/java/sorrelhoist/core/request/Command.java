package sorrelhoist.core.request;

import sorrelhoist.routing.Reason;

/** What a {@link Router} has its carrier do, in the order in which it is told. */
public sealed interface Command {
    /** Calls the handler's method for this command. */
    void accept(CommandHandler handler);

    /**
     * Have a reader read the prompt. Answered by one outcome of this attempt.
     *
     * @param attempt names the attempt
     * @param requestName the request's name at engines
     * @param engine where to
     * @param request what is asked
     * @param prompt the text, with what was answered so far where a stream goes on
     * @param promptTokens its tokens
     * @param deadlineMicros when the attempt is cut, on the router's clock; Long.MAX_VALUE for
     *     never
     * @param reason why this engine
     */
    record StartPrefill(
            AttemptId attempt,
            String requestName,
            String engine,
            InferenceRequest request,
            String prompt,
            long promptTokens,
            long deadlineMicros,
            Reason reason)
            implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.startPrefill(this);
        }
    }

    /**
     * Have a writer fetch the state and answer. Answered by tokens and one outcome of this attempt.
     *
     * @param attempt names the attempt
     * @param requestName the request's name at engines
     * @param engine where to
     * @param request what is asked
     * @param prefillState what to fetch, or null where the engine reads the prompt by itself
     * @param decodeSlot held ahead there, or empty
     * @param prompt the text
     * @param promptTokens its tokens
     * @param firstTokenIndex the first index that the client has not got
     * @param deadlineMicros when the client's time for the whole answer is up; Long.MAX_VALUE where
     *     it did not say
     * @param sendByMicros when its last byte has to have left, or it must not be sent any more;
     *     Long.MAX_VALUE for no limit
     * @param reason why this engine
     */
    record StartDecode(
            AttemptId attempt,
            String requestName,
            String engine,
            InferenceRequest request,
            HeldPrefillState prefillState,
            String decodeSlot,
            String prompt,
            long promptTokens,
            int firstTokenIndex,
            long deadlineMicros,
            long sendByMicros,
            Reason reason)
            implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.startDecode(this);
        }
    }

    /**
     * Stop waiting for an attempt; nothing of it is reported any more.
     *
     * @param attempt which
     */
    record CancelAttempt(AttemptId attempt) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.cancelAttempt(this);
        }
    }

    /**
     * Hold a place ahead at a writer. Answered by {@link Router#decodeSlotAnswered}.
     *
     * @param requestId which request
     * @param requestName its name at engines
     * @param engine the writer
     * @param request what is asked
     */
    record ReserveDecodeSlot(
            long requestId, String requestName, String engine, InferenceRequest request)
            implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.reserveDecodeSlot(this);
        }
    }

    /**
     * Let an engine release what it holds for a request. Answered by {@link
     * Router#releaseCompleted}.
     *
     * @param releaseId names the call
     * @param requestName the request's name at engines; a place's name where its request is not
     *     known
     * @param engine which
     * @param prefillState the state's name; empty for what its reads left that were given up on
     * @param decodeSlot the place's name; may be empty
     * @param upToAttempt where neither is named: the last attempt whose state is meant, so that a
     *     later read at the same engine keeps its own
     */
    record ReleaseReservation(
            long releaseId,
            String requestName,
            String engine,
            String prefillState,
            String decodeSlot,
            int upToAttempt)
            implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.releaseReservation(this);
        }
    }

    /**
     * Stop waiting for the answer to a release; nothing of it is reported any more.
     *
     * @param releaseId which
     */
    record AbandonRelease(long releaseId) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.abandonRelease(this);
        }
    }

    /**
     * What a request had reserved was not released in time: no engine answered. It is not tried any
     * longer.
     *
     * @param requestName the request's name at engines
     * @param engine the engine that was asked last
     * @param releaseCalls how many releases were sent
     */
    record ReportExpiredRelease(String requestName, String engine, int releaseCalls)
            implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.reportExpiredRelease(this);
        }
    }

    /**
     * Give the client a token.
     *
     * @param clientId which
     * @param index from 0, without gaps
     * @param text the token
     * @param attachment as given to {@link Router#tokenReceived}
     */
    record DeliverToken(long clientId, int index, String text, Object attachment)
            implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.deliverToken(this);
        }
    }

    /**
     * Give the client its one final answer; nothing follows it.
     *
     * @param clientId which
     * @param result how it ended
     */
    record FinishRequest(long clientId, RequestResult result) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.finishRequest(this);
        }
    }

    /**
     * Probe an engine. Answered by {@link Router#probeCompleted}.
     *
     * @param engine which
     */
    record ProbeEngine(String engine) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.probeEngine(this);
        }
    }

    /**
     * Send a message to other routers.
     *
     * @param recipient a router's number; -1 for all
     * @param body at most 256 bytes
     */
    record SendPeerMessage(int recipient, String body) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.sendPeerMessage(this);
        }
    }

    /** Ask for the whole roster. */
    record FetchEndpointList() implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.fetchEndpointList(this);
        }
    }

    /**
     * Close idle connections to an engine.
     *
     * @param engine which
     */
    record CloseIdleConnections(String engine) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.closeIdleConnections(this);
        }
    }

    /**
     * A line for the log.
     *
     * @param requestName the request's name, or null
     * @param text the line
     */
    record WriteLog(String requestName, String text) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.writeLog(this);
        }
    }

    /**
     * Says that what must always hold did not.
     *
     * @param text the line
     */
    record ReportViolation(String text) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.reportViolation(this);
        }
    }
}
