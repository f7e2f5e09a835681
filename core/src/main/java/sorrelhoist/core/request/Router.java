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
 * The core of one router, without I/O. Its caller, the transport, reports events; the router
 * submits them to the {@link RoutingPolicy} and passes commands to the transport during the calls
 * below. Not thread-safe: only one thread may call at a time. All times are on the caller's clock,
 * in microseconds.
 *
 * <p>Guarantees, regardless of the events reported and of their order: each client gets one final
 * result and nothing after it; each {@code Send} of the policy gets exactly one {@code
 * AttemptEnded}; each reservation is released when the policy says so. The policy selects engines,
 * rejects, retries and sets attempt timeouts. Its responsibility ends at the first token; from then
 * on this class decides how long a stream may be silent, that it ends at its client's deadline, and
 * whether a broken stream is resumed.
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
     * Creates a router with an empty endpoint list.
     *
     * @param settings configuration of the router
     * @param commands receives commands during the calls below
     */
    public Router(RouterSettings settings, Consumer<Command> commands) {
        this(settings, commands, DecisionListener.NONE);
    }

    /**
     * Creates a router with an empty endpoint list.
     *
     * @param settings configuration of the router
     * @param commands receives commands during the calls below
     * @param listener observes the events and the decisions of the routing policy
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

    /** Called when a request arrives. {@return the client ID, used in commands and later calls} */
    public long requestArrived(long time, InferenceRequest parameters) {
        clock.advanceTo(time);
        RequestState request = intake.open(parameters);
        if (admission.admit(request)) {
            intake.submit(request);
            processPolicyEvents();
            intake.scheduleDeadline(request);
        }
        return request.clientId;
    }

    /** Called when a client disconnects. Ignores unknown IDs: their result was just delivered. */
    public void clientDisconnected(long time, long clientId) {
        clock.advanceTo(time);
        RequestState request = requests.byClientId(clientId);
        if (request != null) {
            termination.clientDisconnected(request);
            processPolicyEvents();
        }
    }

    /**
     * Called when a client stops or resumes reading its answer. Meanwhile the engine's silence is
     * not a failure; a client that stops reading for too long has its request cancelled.
     */
    public void clientBackpressureChanged(long time, long clientId, boolean blocked) {
        clock.advanceTo(time);
        RequestState request = requests.byClientId(clientId);
        if (request != null) {
            streamMonitor.clientBackpressureChanged(request, blocked);
        }
    }

    /** Called when a blocked client has read some, but not all, of what waits for it. */
    public void clientReadSome(long time, long clientId) {
        clock.advanceTo(time);
        RequestState request = requests.byClientId(clientId);
        if (request != null) {
            streamMonitor.clientReadSome(request);
        }
    }

    /** Called during the start command of an attempt if it first has to connect. */
    public void attemptConnecting(long time, AttemptId id) {
        Attempt attempt = runningAttempt(time, id);
        if (attempt != null) {
            attempts.connecting(attempt);
        }
    }

    /**
     * {@return whether the bytes of an attempt may be sent to its engine now} Must be called once
     * the connection is established, immediately before the bytes are produced, because the state
     * may have changed while the connection was being established.
     */
    public boolean maySend(long time, AttemptId id) {
        clock.advanceTo(time);
        return sendAuthorization.maySend(id);
    }

    /** Called when the last byte of an attempt was written to an established connection. */
    public void attemptWritten(long time, AttemptId id) {
        Attempt attempt = runningAttempt(time, id);
        if (attempt != null) {
            attempts.written(attempt);
        }
    }

    /** Called when a prefill succeeded; {@code stateId} names its state at the engine. */
    public void prefillCompleted(
            long time, AttemptId id, String stateId, long cachedTokens, ServerLoad load) {
        handle(
                runningPrefill(time, id),
                attempt -> attempts.prefillCompleted(attempt, stateId, cachedTokens, load));
    }

    /**
     * Called when an attempt ended with an outcome other than DONE and READ; {@code note} is 1 with
     * FULL if there was no prefill state to fetch, otherwise 0.
     */
    public void attemptFailed(
            long time, AttemptId id, Outcome outcome, long note, ServerLoad load) {
        handle(runningAttempt(time, id), attempt -> failures.failed(attempt, outcome, note, load));
    }

    /** Called when the token at {@code index} was received; an attachment is passed on with it. */
    public void tokenReceived(long time, AttemptId id, int index, String text, Object attachment) {
        handle(
                runningDecode(time, id),
                attempt -> streams.tokenReceived(attempt, index, text, attachment));
    }

    /** Called when an engine reports that its answer of {@code tokens} tokens is complete. */
    public void tokenStreamCompleted(
            long time, AttemptId id, int tokens, long cachedTokens, ServerLoad load) {
        handle(
                runningDecode(time, id),
                attempt -> streams.tokenStreamCompleted(attempt, tokens, cachedTokens, load));
    }

    /** Called when bytes of a stream of opaque events were received, a whole event or a part. */
    public void opaqueBytesReceived(long time, AttemptId id) {
        Attempt attempt = runningDecode(time, id);
        if (attempt != null) {
            streamMonitor.bytesReceived(attempt);
        }
    }

    /**
     * Called when an event of an answer was received that is forwarded unchanged as an attachment.
     * {@return whether it was passed on; if not, the caller still owns it}
     */
    public boolean opaqueEventReceived(long time, AttemptId id, Object attachment) {
        Attempt attempt = runningDecode(time, id);
        boolean delivered = attempt != null && streams.opaqueEventReceived(attempt, attachment);
        processPolicyEvents();
        return delivered;
    }

    /** Called when a stream of opaque events completed successfully. */
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

    /** Runs a handler on an attempt, unless it is null, and processes the resulting events. */
    private void handle(Attempt attempt, Consumer<Attempt> handler) {
        if (attempt != null) {
            handler.accept(attempt);
            processPolicyEvents();
        }
    }

    /** Called when an engine accepted or rejected the reservation of a decode slot. */
    public void decodeSlotAnswered(
            long time, long requestId, String engine, boolean reserved, String slot) {
        clock.advanceTo(time);
        if (decodeSlots.reservationAnswered(requestId, engine, reserved, slot)) {
            processPolicyEvents();
        }
    }

    /** Called when it is unknown whether a decode slot was reserved; it may be. */
    public void decodeSlotUnknown(long time, long requestId, String engine, String slot) {
        clock.advanceTo(time);
        decodeSlots.reservationUnknown(requestId, engine, slot);
    }

    /** Called when a release ended; {@code released} if the engine released what it names. */
    public void releaseCompleted(long time, long releaseId, boolean released) {
        clock.advanceTo(time);
        reservations.releaseCompleted(releaseId, released);
    }

    /** Called when bytes were received from an engine, no matter when the engine sent them. */
    public void bytesReceived(long time, String engine) {
        clock.advanceTo(time);
        reservations.bytesReceived(engine);
    }

    /** Called when an engine begins to answer any call written after {@code writtenAfter}. */
    public void callAnswered(long time, String engine, long writtenAfter) {
        clock.advanceTo(time);
        deliveries.callAnswered(engine, writtenAfter);
    }

    /** Called when a reachability check ended, or ({@code asked} is false) was not sent. */
    public void reachabilityChecked(long time, String engine, boolean sent) {
        clock.advanceTo(time);
        deliveries.reachabilityChecked(engine, sent);
    }

    /** Called when a health check ended, {@code tookMicros} microseconds after its start. */
    public void probeCompleted(
            long time, String engine, Outcome outcome, long tookMicros, ServerLoad load) {
        submitEvent(time, new ProbeAnswered(engine, outcome, tookMicros, load));
    }

    /** Called when a message from another router was received. */
    public void peerMessageReceived(long time, int from, String body) {
        submitEvent(time, new PeerMessage(from, body));
    }

    /** Called when the number of routers or the index of this router changed. */
    public void routerCountChanged(long time, int routers, int self) {
        submitEvent(time, new Seated(routers, self));
    }

    /** Applies the complete endpoint list or an update of it. */
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
        processPolicyEvents();
    }

    /** {@return what the policy learned by itself, with at most {@code maxPrefixes} prefixes} */
    public Knowledge exportKnowledge(long time, int maxPrefixes) {
        clock.advanceTo(time);
        return decisions.exportKnowledge(maxPrefixes);
    }

    /** Adopts knowledge that another router learned {@code ageMicros} ago. */
    public void importKnowledge(long time, Knowledge knowledge, long ageMicros) {
        clock.advanceTo(time);
        decisions.importKnowledge(knowledge, ageMicros);
    }

    /** Starts rejecting all new requests, with a recommended retry delay. */
    public void startDraining() {
        admission.startDraining();
    }

    /** {@return the number of running streams whose clients reconnect after a migration} */
    public int migratableStreams() {
        return migration.migratableStreams();
    }

    /** Migrates the youngest streams: each ends early, and its client reconnects. */
    public void migrateYoungestStreams(long time, int count) {
        clock.advanceTo(time);
        migration.migrateYoungest(count);
        processPolicyEvents();
    }

    /** Starts draining, fails all open requests with a message and releases reservations. */
    public void failAllRequests(long time, String message) {
        clock.advanceTo(time);
        admission.startDraining();
        for (RequestState request : requests.open()) {
            termination.fail(request, new RequestResult.Failed(message, false, Reason.UNKNOWN));
            processPolicyEvents();
        }
    }

    /** Advances the clock and runs everything that is due. */
    public void advance(long time) {
        clock.advanceTo(time);
        // These run before timers: reservations and attempts that may use them expire first.
        deliveries.advance();
        processPolicyEvents();
        reservations.advance();
        RouterTimer due = timers.pollDue(clock.now());
        while (due != null) {
            timerDispatcher.fireTimer(due);
            processPolicyEvents();
            due = timers.pollDue(clock.now());
        }
    }

    /** {@return when {@link #advance} has to be called next; Long.MAX_VALUE for never} */
    public long nextTimerAt() {
        long reservationsDue = Math.min(reservations.nextDueMicros(), deliveries.nextDueMicros());
        return Math.min(timers.nextDueMicros(), reservationsDue);
    }

    /** Executes the policy's decisions on all queued events, then throws the first failure. */
    private void processPolicyEvents() {
        try {
            decisions.run(actionExecutor::execute);
        } finally {
            requests.removeFinished();
        }
    }

    /** {@return the monitor that counts violations of invariants} */
    public InvariantMonitor invariantMonitor() {
        return invariantMonitor;
    }

    /** {@return the gauges and counters of this router} */
    public RouterMetrics metrics() {
        return metrics;
    }
}
