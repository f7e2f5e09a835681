package sorrelhoist.core.request;

import java.util.List;
import java.util.function.Consumer;
import sorrelhoist.core.guard.InvariantMonitor;
import sorrelhoist.core.record.DecisionListener;
import sorrelhoist.core.time.TimerQueue;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.RoutingEvents.Event;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Members;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.PeerMessage;
import sorrelhoist.routing.RoutingEvents.ProbeAnswered;
import sorrelhoist.routing.RoutingEvents.Seated;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerLoad;
import sorrelhoist.routing.RoutingPolicy;

/**
 * One router without its sockets: the events that its caller, the transport, reports. It submits
 * them to the {@link RoutingPolicy}, and gives the transport commands during the calls below. One
 * thread at a time; times are the caller's, in microseconds.
 *
 * <p>What it guarantees, whatever is reported and in whatever order: each client gets one final
 * result and nothing after it; each {@code Send} of the policy gets exactly one {@code
 * AttemptEnded}; each reservation is released when the policy says so. The policy selects engines,
 * rejects, retries and sets attempt timeouts. Here is decided only what begins where it stops, at
 * the first token: how long a stream may be silent, that it ends at its client's deadline, and
 * whether a broken one is resumed.
 */
public final class Router {
    private final RouterClock clock;
    private final TimerQueue<RouterTimer> timers;
    private final RequestTable requests;
    private final EngineKinds engineKinds;
    private final DecisionLoop decisions;
    private final RequestReservations reservations;
    private final RequestIntake intake;
    private final RequestAdmission admission;
    private final AttemptDeliveries deliveries;
    private final AttemptTracker attempts;
    private final AttemptFailures failures;
    private final StreamMonitor streamMonitor;
    private final StreamTracker streams;
    private final StreamMigration migration;
    private final DecodeSlots decodeSlots;
    private final RequestTermination termination;
    private final TimerDispatcher timerDispatcher;
    private final ActionExecutor actionExecutor;
    private final InvariantMonitor invariantMonitor;
    private final SendAuthorization sendAuthorization;
    private final RouterMetrics metrics;

    /**
     * Creates a router that knows no engine yet.
     *
     * @param settings what it is given at its start
     * @param commands takes commands, during the calls below
     */
    public Router(RouterSettings settings, Consumer<Command> commands) {
        this(settings, commands, DecisionListener.NONE);
    }

    /**
     * Creates a router that knows no engine yet.
     *
     * @param settings what it is given at its start
     * @param commands takes commands, during the calls below
     * @param listener hears what the routing policy is told and says
     */
    public Router(RouterSettings settings, Consumer<Command> commands, DecisionListener listener) {
        RequestComponents core = new RequestComponents(settings, commands, listener);
        clock = core.clock;
        timers = core.timers;
        requests = core.requests;
        engineKinds = core.engineKinds;
        decisions = core.decisions;
        reservations = core.reservations;
        intake = core.intake;
        admission = core.admission;
        deliveries = core.deliveries;
        attempts = core.attempts;
        failures = core.failures;
        streamMonitor = new StreamMonitor(settings, timers, clock, failures, core.responses);
        streams = new StreamTracker(attempts, failures, streamMonitor, core.responses);
        migration = new StreamMigration(settings.streams(), requests, failures);
        decodeSlots = new DecodeSlots(requests, reservations, decisions);
        termination = core.termination;
        timerDispatcher =
                new TimerDispatcher(requests, decisions, failures, streamMonitor, termination);
        actionExecutor = ActionExecutor.create(core, migration, commands);
        invariantMonitor = core.invariantMonitor;
        sendAuthorization = core.sendAuthorization;
        metrics = new RouterMetrics(requests, engineKinds, attempts, deliveries, reservations);
    }

    /** A request arrived. {@return its client's number here} */
    public long requestArrived(long time, InferenceRequest parameters) {
        clock.advanceTo(time);
        RequestState request = intake.open(parameters);
        if (admission.admit(request)) {
            intake.submit(request);
            drain();
            intake.scheduleDeadline(request);
        }
        return request.clientId;
    }

    /** A client left. Unknown ones got their result a moment ago. */
    public void clientDisconnected(long time, long clientId) {
        clock.advanceTo(time);
        RequestState request = requests.byClientId(clientId);
        if (request != null) {
            termination.clientDisconnected(request);
            drain();
        }
    }

    /**
     * A client takes nothing of its answer for now, or takes it again. While it does not, its
     * engine is not to blame for its silence; one that takes nothing for too long is given up.
     */
    public void clientBackpressureChanged(long time, long clientId, boolean blocked) {
        clock.advanceTo(time);
        RequestState request = requests.byClientId(clientId);
        if (request != null) {
            streamMonitor.clientBackpressureChanged(request, blocked);
        }
    }

    /** An attempt's connection has to come up first. Reported while its command is carried out. */
    public void attemptConnecting(long time, AttemptId id) {
        Attempt attempt = runningAttempt(time, id);
        if (attempt != null) {
            attempts.connecting(attempt);
        }
    }

    /**
     * {@return whether an attempt's bytes may go to its engine now} To be asked when the connection
     * stands, right before they are made: much can have happened while it came up.
     */
    public boolean maySend(long time, AttemptId id) {
        clock.advanceTo(time);
        return sendAuthorization.maySend(id);
    }

    /** The last byte of an attempt was written to a connection that stands. */
    public void attemptWritten(long time, AttemptId id) {
        Attempt attempt = runningAttempt(time, id);
        if (attempt != null) {
            attempts.written(attempt);
        }
    }

    /** A prefill ended well; its state has this name at its engine. */
    public void prefillCompleted(
            long time, AttemptId id, String stateId, long cachedTokens, ServerLoad load) {
        handle(
                runningPrefill(time, id),
                attempt -> attempts.prefillCompleted(attempt, stateId, cachedTokens, load));
    }

    /**
     * An attempt ended without success.
     *
     * @param time now
     * @param id which
     * @param outcome how; neither DONE nor READ
     * @param note 1 with FULL where no state was there to fetch
     * @param load the engine's load report, or {@link ServerLoad#NONE}
     */
    public void attemptFailed(
            long time, AttemptId id, Outcome outcome, long note, ServerLoad load) {
        handle(runningAttempt(time, id), attempt -> failures.failed(attempt, outcome, note, load));
    }

    /**
     * A token came.
     *
     * @param time now
     * @param id of which attempt
     * @param index from 0
     * @param text the token
     * @param attachment handed on with the token; dropped with a token that is not wanted
     */
    public void tokenReceived(long time, AttemptId id, int index, String text, Object attachment) {
        handle(
                runningDecode(time, id),
                attempt -> streams.tokenReceived(attempt, index, text, attachment));
    }

    /** An engine says that it has sent its whole answer, of so many tokens. */
    public void tokenStreamCompleted(
            long time, AttemptId id, int tokens, long cachedTokens, ServerLoad load) {
        handle(
                runningDecode(time, id),
                attempt -> streams.tokenStreamCompleted(attempt, tokens, cachedTokens, load));
    }

    /**
     * An event of an answer came that is passed on as it is ({@link StreamSettings#opaqueEvents});
     * nothing of it is kept.
     *
     * @param time now
     * @param id of which attempt
     * @param attachment the event, handed on in the command to deliver it
     * @return whether it was handed on; if not, it is still the caller's
     */
    public boolean opaqueEventReceived(long time, AttemptId id, Object attachment) {
        Attempt attempt = runningDecode(time, id);
        boolean delivered = attempt != null && streams.opaqueEventReceived(attempt, attachment);
        drain();
        return delivered;
    }

    /** A stream of opaque events came to its proper end. */
    public void opaqueStreamCompleted(long time, AttemptId id, long cachedTokens, ServerLoad load) {
        handle(
                runningDecode(time, id),
                attempt -> streams.completeStream(attempt, cachedTokens, load));
    }

    private Attempt runningAttempt(long time, AttemptId id) {
        clock.advanceTo(time);
        return requests.runningAttempt(id);
    }

    private Attempt runningPrefill(long time, AttemptId id) {
        Attempt attempt = runningAttempt(time, id);
        return attempt != null && attempt.prefill ? attempt : null;
    }

    private Attempt runningDecode(long time, AttemptId id) {
        Attempt attempt = runningAttempt(time, id);
        return attempt != null && !attempt.prefill ? attempt : null;
    }

    /** Runs a handler with a running attempt, and has the policy decide on what follows. */
    private void handle(Attempt attempt, Consumer<Attempt> handler) {
        if (attempt != null) {
            handler.accept(attempt);
            drain();
        }
    }

    /** A decode slot was reserved, or not. */
    public void decodeSlotAnswered(
            long time, long requestId, String engine, boolean reserved, String slot) {
        clock.advanceTo(time);
        if (decodeSlots.answered(requestId, engine, reserved, slot)) {
            drain();
        }
    }

    /** It is not known whether a decode slot was reserved; it may be. */
    public void decodeSlotUnknown(long time, long requestId, String engine, String slot) {
        clock.advanceTo(time);
        decodeSlots.unknown(requestId, engine, slot);
    }

    /** A release ended; {@code released} where the engine answered that nothing is held now. */
    public void releaseCompleted(long time, long releaseId, boolean released) {
        clock.advanceTo(time);
        reservations.releaseCompleted(releaseId, released);
    }

    /** Bytes came from an engine, sent at whatever time. */
    public void bytesReceived(long time, String engine) {
        clock.advanceTo(time);
        reservations.bytesReceived(engine);
    }

    /** An engine began to answer a call of any kind, written later than {@code writtenAfter}. */
    public void callAnswered(long time, String engine, long writtenAfter) {
        clock.advanceTo(time);
        deliveries.callAnswered(engine, writtenAfter);
    }

    /** The call that asked an engine for a sign of life ended; or none could be made. */
    public void reachabilityChecked(long time, String engine, boolean asked) {
        clock.advanceTo(time);
        deliveries.reachabilityChecked(engine, asked);
    }

    /** A health check ended, after so many microseconds. */
    public void probeCompleted(
            long time, String engine, Outcome outcome, long tookMicros, ServerLoad load) {
        submitEvent(time, new ProbeAnswered(engine, outcome, tookMicros, load));
    }

    /** Another router's message came. */
    public void peerMessageReceived(long time, int from, String body) {
        submitEvent(time, new PeerMessage(from, body));
    }

    /** The number of routers, or this one's index among them, changed. */
    public void routerCountChanged(long time, int routers, int self) {
        submitEvent(time, new Seated(routers, self));
    }

    /** The endpoint list, or an update of it. */
    public void endpointsUpdated(long time, ListUpdateKind updateKind, List<Server> servers) {
        clock.advanceTo(time);
        engineKinds.update(updateKind, servers);
        reservations.endpointsUpdated(updateKind, servers);
        sendAuthorization.endpointsUpdated(updateKind, servers);
        deliveries.endpointsUpdated(updateKind, servers);
        submitEvent(time, new Members(updateKind, servers));
    }

    private void submitEvent(long time, Event event) {
        clock.advanceTo(time);
        decisions.submitEvent(event);
        drain();
    }

    /** {@return what the policy has learned by itself, with at most so many prefixes} */
    public Knowledge exportKnowledge(long time, int maxPrefixes) {
        clock.advanceTo(time);
        return decisions.exportKnowledge(maxPrefixes);
    }

    /** Adopts what another router has learned, {@code ageMicros} ago. */
    public void importKnowledge(long time, Knowledge knowledge, long ageMicros) {
        clock.advanceTo(time);
        decisions.importKnowledge(knowledge, ageMicros);
    }

    /** Admits no new requests from now on: they are rejected with a hint when to retry. */
    public void startDraining() {
        admission.startDraining();
    }

    /** {@return running streams whose clients come again for the rest of a migrated one} */
    public int migratableStreams() {
        return migration.migratableStreams();
    }

    /** Migrates the youngest streams: each ends early, and its client comes again. */
    public void migrateYoungestStreams(long time, int count) {
        clock.advanceTo(time);
        migration.migrateYoungest(count);
        drain();
    }

    /** Fails what is still open: each client is told, and nothing stays reserved. */
    public void failAllRequests(long time, String message) {
        clock.advanceTo(time);
        admission.startDraining();
        for (RequestState request : requests.open()) {
            termination.fail(request, new RequestResult.Failed(message, false, Reason.UNKNOWN));
            drain();
        }
    }

    /** Lets time pass. */
    public void advance(long time) {
        clock.advanceTo(time);
        // First of all: reservations have the shortest time, and attempts that may take them.
        deliveries.advance();
        drain();
        reservations.advance();
        RouterTimer due = timers.pollDue(clock.now());
        while (due != null) {
            timerDispatcher.fireTimer(due);
            drain();
            due = timers.pollDue(clock.now());
        }
    }

    /** {@return when {@link #advance} is next needed; Long.MAX_VALUE for never} */
    public long nextTimerAt() {
        long reservationsDue = Math.min(reservations.nextDueMicros(), deliveries.nextDueMicros());
        return Math.min(timers.nextDueMicros(), reservationsDue);
    }

    /** Has the policy decide on all that has happened, then throws the first failure, if any. */
    private void drain() {
        try {
            decisions.run(actionExecutor::execute);
        } finally {
            requests.removeFinished();
        }
    }

    /** {@return counts violations of what must always hold} */
    public InvariantMonitor invariantMonitor() {
        return invariantMonitor;
    }

    /** {@return gauges and counters} */
    public RouterMetrics metrics() {
        return metrics;
    }
}
