package sorrelhoist.edge;

import sorrelhoist.core.request.Command;
import sorrelhoist.core.request.EngineCommands;
import sorrelhoist.core.request.HeldPrefillState;
import sorrelhoist.protocol.engine.DecodeRequest;
import sorrelhoist.protocol.engine.PrefillRequest;

/** Executes the router's commands to engines. Called on the router's thread. */
final class EngineCommandHandler implements EngineCommands {
    private static final String NONE = "";

    private final String edgeName;
    private final RouterEventLoop router;
    private final EngineConnections connections;
    private final EngineAttempts attempts;
    private final ReservationCalls reservations;

    EngineCommandHandler(
            String edgeName,
            RouterEventLoop router,
            EngineConnections connections,
            Tracing tracing) {
        this.edgeName = edgeName;
        this.router = router;
        this.connections = connections;
        this.attempts = new EngineAttempts(router, connections, tracing);
        this.reservations = new ReservationCalls(router, connections);
    }

    @Override
    public void startPrefill(Command.StartPrefill command) {
        PrefillRequest request =
                new PrefillRequest(
                        command.requestName(),
                        command.request().clientRequestId(),
                        edgeName,
                        command.attempt().number(),
                        command.prompt(),
                        (int) command.promptTokens(),
                        command.request().maxOutputTokens(),
                        command.request().classIndex());
        EngineAttempt attempt =
                new EngineAttempt(
                        EngineAttempt.Phase.PREFILL,
                        command.attempt(),
                        command.engine(),
                        command.requestName(),
                        command.request(),
                        command.deadlineMicros(),
                        command.reason());
        attempts.start(
                attempt,
                request.toByteArray(),
                network -> new PrefillListener(router, attempts, command.attempt()));
    }

    @Override
    public void startDecode(Command.StartDecode command) {
        EngineAttempt attempt =
                new EngineAttempt(
                        EngineAttempt.Phase.DECODE,
                        command.attempt(),
                        command.engine(),
                        command.requestName(),
                        command.request(),
                        command.deadlineMicros(),
                        command.reason());
        attempts.start(
                attempt,
                decodeRequest(command).toByteArray(),
                network -> new DecodeListener(router, attempts, command.attempt(), network));
    }

    private DecodeRequest decodeRequest(Command.StartDecode command) {
        HeldPrefillState state = command.prefillState();
        boolean prefillsItself = state == null;
        return new DecodeRequest(
                command.requestName(),
                command.request().clientRequestId(),
                edgeName,
                command.attempt().number(),
                prefillsItself ? NONE : state.stateId(),
                prefillsItself ? NONE : connections.address(state.engine()),
                prefillsItself ? command.prompt() : NONE,
                (int) command.promptTokens(),
                command.request().maxOutputTokens(),
                command.firstTokenIndex(),
                command.decodeSlot(),
                command.request().classIndex());
    }

    @Override
    public void cancelAttempt(Command.CancelAttempt command) {
        attempts.cancel(command.attempt());
    }

    @Override
    public void reserveDecodeSlot(Command.ReserveDecodeSlot command) {
        reservations.reserve(command);
    }

    @Override
    public void releaseReservation(Command.ReleaseReservation command) {
        reservations.release(command);
    }

    @Override
    public void abandonRelease(Command.AbandonRelease command) {
        reservations.abandonRelease(command.releaseId());
    }

    /**
     * Never called: an edge reports no written requests to the router, so a sent gRPC call counts
     * as delivered, and the gRPC channels detect dead connections themselves.
     */
    @Override
    public void checkReachability(Command.CheckReachability command) {
        throw new UnsupportedOperationException(
                "an edge does not check the reachability of engines");
    }

    @Override
    public void reportDelivery(Command.ReportDelivery command) {
        throw new UnsupportedOperationException(
                "an edge does not track deliveries: each sent call counts as delivered");
    }

    @Override
    public void reportExpiredRelease(Command.ReportExpiredRelease command) {
        reservations.logExpiredRelease(command);
    }

    @Override
    public void reportReservation(Command.ReportReservation command) {
        reservations.logReservation(command.report());
    }

    @Override
    public void closeIdleConnections(Command.CloseIdleConnections command) {
        connections.closeIdle(command.engine());
    }

    /**
     * Returns the number of attempts in flight, for tests and logs. Called on the router's thread.
     */
    int attemptsInFlight() {
        return attempts.count();
    }
}
