package sorrelhoist.standin.engine;

import sorrelhoist.protocol.engine.EngineApi;
import sorrelhoist.protocol.grpc.ServerCall;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.grpc.StatusCode;

/** Ends calls with the load report that every answer of an engine carries in its trailers. */
final class CallResponder {
    private final EngineLoad load;

    CallResponder(EngineLoad load) {
        this.load = load;
    }

    /** Sends the last message of a call and closes it as successful. */
    void reply(ServerCall call, byte[] message) {
        call.send(message);
        call.close(Status.OK, EngineApi.loadReportTrailers(load.report()));
    }

    /** Answers a probe: the load report is the message too. */
    void replyWithLoad(ServerCall call) {
        reply(call, load.report().toByteArray());
    }

    /** Closes a call without a message. */
    void fail(ServerCall call, StatusCode code, String message) {
        call.close(new Status(code, message), EngineApi.loadReportTrailers(load.report()));
    }
}
