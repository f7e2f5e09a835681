package sorrelhoist.core.request;

import sorrelhoist.core.delivery.AttemptDelivery;
import sorrelhoist.core.reservation.ReservationReport;
import sorrelhoist.routing.Reason;

/** What a {@link Router} has its transport do, in the order in which it is given. */
public sealed interface Command {
    /** Calls the handler's method for this command. */
    void accept(CommandHandler handler);

    /**
     * What is sent where, by either kind of attempt.
     *
     * @param attempt names the attempt
     * @param requestName the request's name at engines
     * @param engine where to
     * @param request what the client asks for
     * @param prompt the text to read, with what was generated so far where a stream is resumed
     * @param promptTokens its tokens
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

    /** Start an attempt. Answered by one outcome of this attempt. */
    sealed interface StartAttempt extends Command {
        /** {@return what is sent where} */
        AttemptTarget target();

        /** {@return the attempt's name} */
        default AttemptId attempt() {
            return target().attempt();
        }

        /** {@return the request's name at engines} */
        default String requestName() {
            return target().requestName();
        }

        /** {@return where to send it} */
        default String engine() {
            return target().engine();
        }

        /** {@return what the client asks for} */
        default InferenceRequest request() {
            return target().request();
        }

        /** {@return the text to read} */
        default String prompt() {
            return target().prompt();
        }

        /** {@return the tokens of the text to read} */
        default long promptTokens() {
            return target().promptTokens();
        }

        /** {@return why this engine was selected} */
        default Reason reason() {
            return target().reason();
        }
    }

    /**
     * Have an engine read the prompt.
     *
     * @param target what is sent where
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
     * Have an engine fetch the prefill state and answer. Answered by tokens as well.
     *
     * @param target what is sent where
     * @param prefillState what to fetch, or null where the engine reads the prompt by itself
     * @param decodeSlot reserved there, or empty
     * @param firstTokenIndex the first index that the client has not received
     * @param deadlineMicros when the client's time for the whole answer is up; Long.MAX_VALUE where
     *     it gave none
     * @param sendByMicros when its last byte has to have left, or it must not be sent any more;
     *     Long.MAX_VALUE for no limit
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
     * Reserve a decode slot ahead of its use. Answered by {@link Router#decodeSlotAnswered}.
     *
     * @param requestId which request
     * @param requestName its name at engines
     * @param engine the engine that is to decode
     * @param request what the client asks for
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
     * Have an engine release what it holds for a request. Answered by {@link
     * Router#releaseCompleted}.
     *
     * @param releaseId names the call
     * @param requestName the request's name at engines; a slot's name where its request is not
     *     known
     * @param engine which
     * @param prefillState the state's name; empty for what cancelled prefills left
     * @param decodeSlot the slot's name; may be empty
     * @param upToAttempt where neither is named: the last attempt whose state is meant, so that a
     *     later prefill at the same engine keeps its own
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
     * Ask an engine for a sign of life by a call that changes nothing. Answered by {@link
     * Router#reachabilityChecked}, and by bytes that come from the engine.
     *
     * @param engine which
     */
    record CheckReachability(String engine) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.checkReachability(this);
        }
    }

    /**
     * Report that what a request had reserved was not released in time: no engine answered. It is
     * not tried any longer.
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
     * Give the client its one final result; nothing follows it.
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
     * Check an engine's health. Answered by {@link Router#probeCompleted}.
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
     * @param recipient a router's index; -1 for all
     * @param body at most 256 bytes
     */
    record SendPeerMessage(int recipient, String body) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.sendPeerMessage(this);
        }
    }

    /** Ask for the complete endpoint list. */
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
     * Write a line to the log.
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
     * Report what became of a reservation that was not taken in the ordinary way.
     *
     * @param report what the line says
     */
    record ReportReservation(ReservationReport report) implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.reportReservation(this);
        }
    }

    /**
     * Report that an attempt was taken for undelivered, or has arrived although it was.
     *
     * @param requestName the request's name at engines
     * @param attempt number of the send
     * @param engine where it was sent
     * @param delivery what is known of its delivery
     * @param sinceWrittenMicros since its last byte was written
     * @param history the latest transitions of its request
     */
    record ReportDelivery(
            String requestName,
            int attempt,
            String engine,
            AttemptDelivery.State delivery,
            long sinceWrittenMicros,
            String history)
            implements Command {
        @Override
        public void accept(CommandHandler handler) {
            handler.reportDelivery(this);
        }
    }

    /**
     * Report that what must always hold did not.
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
