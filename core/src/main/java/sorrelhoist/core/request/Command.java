package sorrelhoist.core.request;

import sorrelhoist.core.delivery.AttemptDelivery;
import sorrelhoist.core.reservation.ReservationReport;
import sorrelhoist.routing.Reason;

/**
 * A command from a {@link Router} to its transport. The transport executes commands in the order in
 * which the router emits them.
 */
public sealed interface Command {
    /** Calls the handler's method for this command. */
    void accept(CommandHandler handler);

    /**
     * The payload and the destination of an attempt, common to prefill and decode.
     *
     * @param attempt ID of the attempt
     * @param requestName the name under which engines know the request
     * @param engine the engine that the attempt is sent to
     * @param request the client's request
     * @param prompt the text to prefill; for a resumed stream, the client's prompt followed by the
     *     text generated so far
     * @param promptTokens length of {@code prompt}, in tokens
     * @param reason why this engine was selected
     */
    record AttemptTarget(
            AttemptId attempt,
            String requestName,
            String engine,
            InferenceRequest request,
            String prompt,
            long promptTokens,
            Reason reason) {}

    /**
     * Starts an attempt. The transport answers with exactly one outcome of the attempt, unless the
     * attempt is cancelled first.
     */
    sealed interface StartAttempt extends Command {
        /** {@return the payload and the destination of the attempt} */
        AttemptTarget target();

        /** {@return the ID of the attempt} */
        default AttemptId attempt() {
            return target().attempt();
        }

        /** {@return the name under which engines know the request} */
        default String requestName() {
            return target().requestName();
        }

        /** {@return the engine that the attempt is sent to} */
        default String engine() {
            return target().engine();
        }

        /** {@return the client's request} */
        default InferenceRequest request() {
            return target().request();
        }

        /** {@return the text to prefill} */
        default String prompt() {
            return target().prompt();
        }

        /** {@return the length of the text to prefill, in tokens} */
        default long promptTokens() {
            return target().promptTokens();
        }

        /** {@return why this engine was selected} */
        default Reason reason() {
            return target().reason();
        }
    }

    /**
     * Has an engine prefill the prompt.
     *
     * @param target the payload and the destination of the attempt
     * @param deadlineMicros when the attempt times out, on the router's clock; Long.MAX_VALUE for
     *     never
     */
    record StartPrefill(AttemptTarget target, long deadlineMicros) implements StartAttempt {
        @Override
        public void accept(CommandHandler handler) {
            handler.startPrefill(this);
        }
    }

    /**
     * Has an engine fetch the prefill state and decode. The transport also reports the tokens of
     * the answer.
     *
     * @param target the payload and the destination of the attempt
     * @param prefillState the prefill state to fetch, or null if the engine prefills the prompt
     *     itself
     * @param decodeSlot name of the decode slot reserved at the engine, or empty if none is
     *     reserved
     * @param firstTokenIndex index of the first token that the client has not received yet
     * @param deadlineMicros the client's deadline for the whole answer; Long.MAX_VALUE if it set
     *     none
     * @param sendByMicros the latest time at which the last byte of the request may be sent; after
     *     it, the request must not be sent any more; Long.MAX_VALUE for no limit
     */
    record StartDecode(
            AttemptTarget target,
            HeldPrefillState prefillState,
            String decodeSlot,
            int firstTokenIndex,
            long deadlineMicros,
            long sendByMicros)
            implements StartAttempt {
        @Override
        public void accept(CommandHandler handler) {
            handler.startDecode(this);
        }
    }

    /**
     * Cancels an attempt. The transport reports nothing about it any more.
     *
     * @param attempt ID of the attempt
     */
    record CancelAttempt(AttemptId attempt) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.cancelAttempt(this);
        }
    }

    /**
     * Reserves a decode slot in advance. Answered by {@link Router#decodeSlotAnswered} or {@link
     * Router#decodeSlotUnknown}.
     *
     * @param requestId ID of the request at the routing policy
     * @param requestName the name under which engines know the request
     * @param engine the engine that is to decode
     * @param request the client's request
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
     * Has an engine release what it holds for a request. Answered by {@link
     * Router#releaseCompleted}.
     *
     * @param releaseId ID of the release call
     * @param requestName the name under which engines know the request; the name of the slot if the
     *     request is not known
     * @param engine the engine that the release is sent to
     * @param prefillState name of the prefill state; empty for the states that lost or cancelled
     *     prefills may have produced
     * @param decodeSlot name of the decode slot; may be empty
     * @param upToAttempt if neither a prefill state nor a decode slot is named, the last attempt
     *     whose state is released, so that a later prefill at the same engine keeps its state
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
     * Stops waiting for the answer to a release call. The transport reports nothing about it any
     * more.
     *
     * @param releaseId ID of the release call
     */
    record AbandonRelease(long releaseId) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.abandonRelease(this);
        }
    }

    /**
     * Checks whether an engine is reachable, by a call that has no effect. Answered by {@link
     * Router#reachabilityChecked}, and by bytes received from the engine.
     *
     * @param engine the engine to check
     */
    record CheckReachability(String engine) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.checkReachability(this);
        }
    }

    /**
     * Reports that reservations of a request were not released in time because no engine answered,
     * or that they were dropped to make room for others. After a release has expired, further calls
     * follow at longer intervals if any engine can release the reservations; otherwise none follow.
     *
     * @param requestName the name under which engines know the request
     * @param engine the engine that the last release call was sent to; the holding engine if none
     *     was sent
     * @param releaseCalls number of release calls sent since the last answer or expiry
     */
    record ReportExpiredRelease(String requestName, String engine, int releaseCalls)
            implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.reportExpiredRelease(this);
        }
    }

    /**
     * Delivers a token or an opaque event to a client.
     *
     * @param clientId ID of the client's request
     * @param index index of the token, starting at 0 without gaps
     * @param text the text of the token; empty for an opaque event
     * @param attachment the attachment passed to {@link Router#tokenReceived} or {@link
     *     Router#opaqueEventReceived}
     */
    record DeliverToken(long clientId, int index, String text, Object attachment)
            implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.deliverToken(this);
        }
    }

    /**
     * Delivers the one final result to a client; nothing follows it.
     *
     * @param clientId ID of the client's request
     * @param result how the request ended
     */
    record FinishRequest(long clientId, RequestResult result) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.finishRequest(this);
        }
    }

    /**
     * Checks the health of an engine. Answered by {@link Router#probeCompleted}.
     *
     * @param engine the engine to check
     */
    record ProbeEngine(String engine) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.probeEngine(this);
        }
    }

    /**
     * Sends a message to other routers.
     *
     * @param recipient index of the receiving router; -1 for all routers
     * @param body the message, at most 256 bytes
     */
    record SendPeerMessage(int recipient, String body) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.sendPeerMessage(this);
        }
    }

    /** Requests the complete endpoint list. */
    record FetchEndpointList() implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.fetchEndpointList(this);
        }
    }

    /**
     * Closes idle connections to an engine.
     *
     * @param engine the engine whose idle connections are closed
     */
    record CloseIdleConnections(String engine) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.closeIdleConnections(this);
        }
    }

    /**
     * Writes a line to the log.
     *
     * @param requestName name of the request, or null if the line concerns no request
     * @param text text of the line
     */
    record WriteLog(String requestName, String text) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.writeLog(this);
        }
    }

    /**
     * Reports that a reservation was released after an attempt had failed to use it, or that it has
     * been held beyond its time limit.
     *
     * @param report contents of the log line
     */
    record ReportReservation(ReservationReport report) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.reportReservation(this);
        }
    }

    /**
     * Reports that an attempt is considered undelivered, or that it has arrived after being
     * considered undelivered.
     *
     * @param requestName the name under which engines know the request
     * @param attempt number of the send, starting at 0
     * @param engine the engine that the attempt was sent to
     * @param delivery the state of its delivery
     * @param timeSinceWrittenMicros time since its last byte was written, in microseconds
     * @param history the latest transitions of the request
     */
    record ReportDelivery(
            String requestName,
            int attempt,
            String engine,
            AttemptDelivery.State delivery,
            long timeSinceWrittenMicros,
            String history)
            implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.reportDelivery(this);
        }
    }

    /**
     * Reports the violation of an invariant.
     *
     * @param text text of the log line
     */
    record ReportViolation(String text) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.reportViolation(this);
        }
    }
}
