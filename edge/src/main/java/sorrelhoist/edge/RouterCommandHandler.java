package sorrelhoist.edge;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.core.request.Command;
import sorrelhoist.core.request.CommandHandler;
import sorrelhoist.core.request.EngineCommands;
import sorrelhoist.core.request.PlannerCommands;

/**
 * Executes the router's commands that concern clients and the log, and passes the others on to the
 * handlers for engines and for the planner. Called on the router's thread.
 */
final class RouterCommandHandler implements CommandHandler {
    private static final Logger LOG = LoggerFactory.getLogger(RouterCommandHandler.class);

    private final OpenRequests requests;
    private final RejectionLog rejections;
    private final MonotonicClock clock;
    private final EngineCommands engines;
    private final PlannerCommands planner;

    RouterCommandHandler(
            OpenRequests requests,
            RejectionLog rejections,
            MonotonicClock clock,
            EngineCommands engines,
            PlannerCommands planner) {
        this.requests = requests;
        this.rejections = rejections;
        this.clock = clock;
        this.engines = engines;
        this.planner = planner;
    }

    @Override
    public void deliverToken(Command.DeliverToken command) {
        ResponseListener listener = requests.listener(command.clientId());
        if (listener != null) {
            listener.onToken(command.index(), command.text(), (Runnable) command.attachment());
        }
    }

    @Override
    public void finishRequest(Command.FinishRequest command) {
        ResponseListener listener = requests.removeEnded(command.clientId());
        rejections.requestEnded(clock.now(), command.result());
        listener.onResult(command.result());
    }

    @Override
    public void writeLog(Command.WriteLog command) {
        LOG.atInfo()
                .addKeyValue("event", "decide")
                .addKeyValue("request", command.requestName())
                .log(command.text());
    }

    @Override
    public void reportViolation(Command.ReportViolation command) {
        LOG.atWarn().addKeyValue("event", "violation").log(command.text());
    }

    @Override
    public void startPrefill(Command.StartPrefill command) {
        engines.startPrefill(command);
    }

    @Override
    public void startDecode(Command.StartDecode command) {
        engines.startDecode(command);
    }

    @Override
    public void cancelAttempt(Command.CancelAttempt command) {
        engines.cancelAttempt(command);
    }

    @Override
    public void reserveDecodeSlot(Command.ReserveDecodeSlot command) {
        engines.reserveDecodeSlot(command);
    }

    @Override
    public void releaseReservation(Command.ReleaseReservation command) {
        engines.releaseReservation(command);
    }

    @Override
    public void abandonRelease(Command.AbandonRelease command) {
        engines.abandonRelease(command);
    }

    @Override
    public void checkReachability(Command.CheckReachability command) {
        engines.checkReachability(command);
    }

    @Override
    public void reportDelivery(Command.ReportDelivery command) {
        engines.reportDelivery(command);
    }

    @Override
    public void reportExpiredRelease(Command.ReportExpiredRelease command) {
        engines.reportExpiredRelease(command);
    }

    @Override
    public void reportReservation(Command.ReportReservation command) {
        engines.reportReservation(command);
    }

    @Override
    public void closeIdleConnections(Command.CloseIdleConnections command) {
        engines.closeIdleConnections(command);
    }

    @Override
    public void probeEngine(Command.ProbeEngine command) {
        planner.probeEngine(command);
    }

    @Override
    public void sendPeerMessage(Command.SendPeerMessage command) {
        planner.sendPeerMessage(command);
    }

    @Override
    public void fetchEndpointList(Command.FetchEndpointList command) {
        planner.fetchEndpointList(command);
    }
}
