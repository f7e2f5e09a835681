package sorrelhoist.edge;

import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.core.request.Command;
import sorrelhoist.core.reservation.ReservationReport;
import sorrelhoist.protocol.engine.EngineApi;
import sorrelhoist.protocol.engine.ReleaseRequest;
import sorrelhoist.protocol.engine.ReserveReply;
import sorrelhoist.protocol.engine.ReserveRequest;
import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.grpc.GrpcChannel;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.protobuf.ProtoException;

/**
 * Calls engines to reserve decode slots and to release reservations. Its state belongs to the
 * router's thread.
 */
final class ReservationCalls {
    private static final Logger LOG = LoggerFactory.getLogger(ReservationCalls.class);

    /** Timeout of a release, as a multiple of the timeout for establishing a connection. */
    private static final int RELEASE_TIMEOUT_FACTOR = 4;

    private final RouterEventLoop router;
    private final EngineConnections connections;
    private final Map<Long, EngineCall> releasesInFlight = new HashMap<>();

    ReservationCalls(RouterEventLoop router, EngineConnections connections) {
        this.router = router;
        this.connections = connections;
    }

    /** Reserves a decode slot. Nothing is reported if the engine cannot be reached. */
    void reserve(Command.ReserveDecodeSlot command) {
        GrpcChannel channel = connections.channelTo(command.engine());
        if (channel == null) {
            return;
        }
        Headers metadata = deadlineIn(connections.connectTimeoutMicros());
        ClientCall call =
                channel.newCall(EngineApi.RESERVE, metadata, new ReserveListener(command));
        ReserveRequest request =
                new ReserveRequest(
                        command.requestName(),
                        (int) command.request().promptTokens(),
                        command.request().maxOutputTokens());
        new EngineCall(channel, call).start(request.toByteArray());
    }

    /** Releases the reservations of a request, and reports the end of the call to the router. */
    void release(Command.ReleaseReservation command) {
        GrpcChannel channel = connections.channelTo(command.engine());
        if (channel == null) {
            router.execute(r -> r.releaseCompleted(router.now(), command.releaseId(), false));
            return;
        }
        Headers metadata = deadlineIn(connections.connectTimeoutMicros() * RELEASE_TIMEOUT_FACTOR);
        ClientCall call =
                channel.newCall(
                        EngineApi.RELEASE, metadata, new ReleaseListener(command.releaseId()));
        EngineCall engineCall = new EngineCall(channel, call);
        releasesInFlight.put(command.releaseId(), engineCall);
        ReleaseRequest request =
                new ReleaseRequest(
                        command.requestName(),
                        command.prefillState(),
                        command.decodeSlot(),
                        command.upToAttempt());
        engineCall.start(request.toByteArray());
    }

    /** Cancels the call of a release. Does nothing if the release is not in flight. */
    void abandonRelease(long releaseId) {
        EngineCall call = releasesInFlight.remove(releaseId);
        if (call != null) {
            call.cancel();
        }
    }

    /** Logs that the release of a reservation was not confirmed in time. */
    void logExpiredRelease(Command.ReportExpiredRelease command) {
        LOG.atWarn()
                .addKeyValue("event", "release_expired")
                .addKeyValue("request", command.requestName())
                .addKeyValue("engine", command.engine())
                .addKeyValue("calls", command.releaseCalls())
                .log("release of a reservation was not confirmed in time");
    }

    /** Logs the state of a reservation that no decode attempt has consumed. */
    void logReservation(ReservationReport report) {
        LOG.atInfo()
                .addKeyValue("event", "reservation")
                .addKeyValue("request", report.requestName())
                .addKeyValue("state", report.state())
                .addKeyValue("history", report.history())
                .log("reservation was not consumed by a decode attempt");
    }

    private Headers deadlineIn(long micros) {
        long now = router.now();
        return CallMetadata.withDeadline(now + micros, now);
    }

    /** Reports to the router whether an engine has reserved a slot. */
    private final class ReserveListener implements ClientCall.Listener {
        private final Command.ReserveDecodeSlot command;

        ReserveListener(Command.ReserveDecodeSlot command) {
            this.command = command;
        }

        @Override
        public void onMessage(ClientCall call, byte[] message, int wireBytes) {
            try {
                ReserveReply reply = ReserveReply.parse(message);
                router.execute(
                        r ->
                                r.decodeSlotAnswered(
                                        router.now(),
                                        command.requestId(),
                                        command.engine(),
                                        reply.reserved(),
                                        reply.reservationId()));
            } catch (ProtoException e) {
                call.cancel();
            }
        }

        @Override
        public void onClose(
                ClientCall call,
                Status status,
                Headers trailers,
                ClientCall.Termination termination) {
            // The router does not wait for the reply, so a failed call needs no report.
        }
    }

    /** Reports the end of a release to the router. */
    private final class ReleaseListener implements ClientCall.Listener {
        private final long releaseId;

        ReleaseListener(long releaseId) {
            this.releaseId = releaseId;
        }

        @Override
        public void onMessage(ClientCall call, byte[] message, int wireBytes) {
            call.consumeBytes(wireBytes);
        }

        @Override
        public void onClose(
                ClientCall call,
                Status status,
                Headers trailers,
                ClientCall.Termination termination) {
            boolean released = termination == ClientCall.Termination.STATUS && status.isOk();
            router.execute(
                    r -> {
                        releasesInFlight.remove(releaseId);
                        r.releaseCompleted(router.now(), releaseId, released);
                    });
        }
    }
}
