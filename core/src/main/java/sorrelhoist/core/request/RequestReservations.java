package sorrelhoist.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import sorrelhoist.core.reservation.AttemptEnding;
import sorrelhoist.core.reservation.AttemptPurpose;
import sorrelhoist.core.reservation.EngineActivity;
import sorrelhoist.core.reservation.Hold;
import sorrelhoist.core.reservation.ReleaseCall;
import sorrelhoist.core.reservation.ReleaseCause;
import sorrelhoist.core.reservation.ReleaseClient;
import sorrelhoist.core.reservation.ReleasePolicy;
import sorrelhoist.core.reservation.ReleaseReach;
import sorrelhoist.core.reservation.ReservationKey;
import sorrelhoist.core.reservation.ReservationReport;
import sorrelhoist.core.reservation.ReservationTable;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerState;

/**
 * Reports the events of requests to the reservation table. If reservations are released by name at
 * the engine that holds them, each prefill state and each decode slot has its own key and is
 * released as soon as nothing needs it. If any engine can release everything that a request has
 * reserved, the request has a single key.
 */
final class RequestReservations {
    private static final int KEYS_PER_REQUEST = 4;

    /** Stands for the decode slot in a key, in place of the number of an attempt. */
    private static final int DECODE_SLOT = -2;

    /** Retry intervals after which an engine is silent if only others have sent bytes. */
    private static final int SILENT_RETRIES = 2;

    /** Whether a single key covers everything that a request has reserved. */
    private final boolean oneKeyPerRequest;

    private final RouterClock clock;
    private final ReservationTable table;
    private final EngineActivity engines;

    RequestReservations(RouterSettings settings, RouterClock clock, Consumer<Command> commands) {
        ReleasePolicy policy = settings.releasePolicy();
        this.oneKeyPerRequest = policy.reach() == ReleaseReach.ANY_ENGINE;
        this.clock = clock;
        this.engines = new EngineActivity(SILENT_RETRIES * policy.retryMicros());
        this.table =
                new ReservationTable(
                        policy,
                        oneKeyPerRequest ? engines : this::releaseTarget,
                        new ReleaseCommands(commands),
                        KEYS_PER_REQUEST * settings.maxOpenRequests());
    }

    /**
     * Returns the engine to send a release to, or null for none. An engine that is not on the
     * endpoint list may keep running for a while, so it is asked once; after that, its reservations
     * are considered gone with it.
     */
    private String releaseTarget(Hold hold, Set<String> askedEngines) {
        return askedEngines.isEmpty() || engines.isListed(hold.engine()) ? hold.engine() : null;
    }

    /** Converts the calls of the reservation table into commands. */
    private record ReleaseCommands(Consumer<Command> commands) implements ReleaseClient {
        @Override
        public void release(ReleaseCall call) {
            Hold hold = call.hold();
            commands.accept(
                    new Command.ReleaseReservation(
                            call.id(),
                            call.requestName(),
                            call.engine(),
                            hold.prefillState(),
                            hold.decodeSlot(),
                            hold.upToAttempt()));
        }

        @Override
        public void abandon(long call) {
            commands.accept(new Command.AbandonRelease(call));
        }

        @Override
        public void expired(ReservationKey key, String engine, int calls) {
            commands.accept(new Command.ReportExpiredRelease(key.requestName(), engine, calls));
        }

        @Override
        public void report(ReservationReport report) {
            commands.accept(new Command.ReportReservation(report));
        }
    }

    // Engines

    /** Applies the complete endpoint list or an update of it. */
    void endpointsUpdated(ListUpdateKind updateKind, List<Server> servers) {
        if (updateKind == ListUpdateKind.COMPLETE) {
            engines.replaced(
                    servers.stream()
                            .filter(server -> server.state() != ServerState.GONE)
                            .map(Server::id)
                            .toList());
            return;
        }
        for (Server server : servers) {
            if (server.state() == ServerState.GONE) {
                engines.removed(server.id());
            } else {
                engines.added(server.id());
            }
        }
    }

    /** Called when bytes were received from an engine. */
    void bytesReceived(String engine) {
        engines.bytesReceived(engine, clock.now());
    }

    /** {@return whether an engine is on the endpoint list} */
    boolean isListed(String engine) {
        return engines.isListed(engine);
    }

    /** Called when an engine whose response was awaited has responded. */
    void awaitedEngineResponded(String engine) {
        table.engineResponded(engine, clock.now());
    }

    /** Called when an engine left the list. Calls in transit to it no longer arrive. */
    void engineRemoved(String engine) {
        table.engineRemoved(engine, clock.now());
    }

    // Attempts

    /**
     * Called before an attempt is sent. A prefill produces a new prefill state, so an earlier state
     * of the request is no longer needed.
     */
    void attemptSent(Attempt attempt) {
        RequestState request = attempt.request;
        if (attempt.prefill) {
            dropPrefillState(request);
        }
        AttemptPurpose purpose = purposeOf(attempt);
        for (ReservationKey key : keysOf(request)) {
            table.attemptSent(key, purpose, attempt.engine, clock.now());
            if (!oneKeyPerRequest) {
                // HOLDER transports cannot report writes, so the attempt counts as delivered.
                table.attemptDelivered(key, clock.now());
            }
        }
    }

    private static AttemptPurpose purposeOf(Attempt attempt) {
        if (attempt.prefill) {
            return AttemptPurpose.PREFILL;
        }
        RequestState request = attempt.request;
        boolean usesReservation =
                request.prefillState != null || attempt.engine.equals(request.decodeSlotEngine);
        return usesReservation ? AttemptPurpose.DECODE_RESERVED : AttemptPurpose.PREFILL_AND_DECODE;
    }

    /** Called when the running attempt waits for a connection. */
    void connecting(RequestState request) {
        keysOf(request).forEach(key -> table.attemptConnecting(key, clock.now()));
    }

    /** Called when the last byte of the running attempt was written. */
    void written(RequestState request) {
        keysOf(request).forEach(key -> table.attemptWritten(key, clock.now()));
    }

    /** Called when the running attempt is known to have reached its engine. */
    void delivered(RequestState request) {
        keysOf(request).forEach(key -> table.attemptDelivered(key, clock.now()));
    }

    /** {@return since when the longest-idle reservation has been idle; now if there is none} */
    long idleSince(RequestState request) {
        return keysOf(request).stream()
                .mapToLong(key -> table.idleSince(key, clock.now()))
                .min()
                .orElse(clock.now());
    }

    /** Called when a prefill succeeded; its state is held at the engine. */
    void prefillCompleted(Attempt attempt, String stateId) {
        RequestState request = attempt.request;
        request.prefillState = new HeldPrefillState(attempt.engine, stateId);
        request.prefillStateKey = keyOf(attempt);
        table.prefillCompleted(
                request.prefillStateKey, Hold.ofPrefillState(attempt.engine, stateId), clock.now());
    }

    /**
     * Called when a running attempt ended, successfully or not. Reservations that it confirmed or
     * used are reported by the other methods.
     *
     * @param attempt the attempt that ended
     * @param outcome how it ended
     * @param awaitsEngine whether the router has to wait for a response from the engine to know
     *     that the end of the attempt has reached the engine
     */
    void attemptEnded(Attempt attempt, Outcome outcome, boolean awaitsEngine) {
        AttemptEnding ending = AttemptHolds.endingOf(attempt, outcome);
        Hold remainingHold = AttemptHolds.remainingHold(attempt, outcome, awaitsEngine);
        if (remainingHold != null
                && (remainingHold.isPrefillState() || mayWaitForReservation(attempt))) {
            ReservationKey key = keyOf(attempt);
            table.addHold(key, remainingHold, clock.now());
            if (!oneKeyPerRequest) {
                table.markUnwanted(key, clock.now());
            }
        }
        keysOf(attempt.request).forEach(key -> table.attemptEnded(key, ending, clock.now()));
    }

    /** {@return whether something is reserved that a decode may wait for in its engine's queue} */
    boolean mayWaitForReservation(Attempt decode) {
        return oneKeyPerRequest && table.isHeld(keyOf(decode));
    }

    /** Called when a stream began: its engine fetched the prefill state and used the slot. */
    void reservationsUsed(RequestState request) {
        keysOf(request).forEach(key -> table.streamStarted(key, clock.now()));
        clearReservations(request);
    }

    /**
     * Called when a decode engine could not fetch the prefill state. The state may still be held,
     * if it is unreachable only for that engine.
     */
    void prefillStateNotFetched(RequestState request) {
        keysOf(request)
                .forEach(key -> table.attemptEnded(key, AttemptEnding.ANSWERED, clock.now()));
        dropPrefillState(request);
    }

    /** {@return whether the prefill state may have been released before its decode used it} */
    boolean isPrefillStateReleased(RequestState request) {
        ReservationKey key = ReservationKey.ofRequest(request.name);
        return oneKeyPerRequest && (!table.isHeld(key) || table.wasReleasedDuringDecode(key));
    }

    /** Drops a state that no attempt will use; the prompt has to be prefilled again. */
    void dropPrefillState(RequestState request) {
        if (oneKeyPerRequest) {
            table.prefillStatesUnneeded(ReservationKey.ofRequest(request.name));
        } else if (request.prefillStateKey != null) {
            table.markUnwanted(request.prefillStateKey, clock.now());
        }
        request.prefillState = null;
        request.prefillStateKey = null;
    }

    /** Releases all reservations of a request unless a running attempt may still use them. */
    void release(RequestState request) {
        if (request.runningAttempt != null) {
            return;
        }
        keysOf(request).forEach(key -> table.markUnwanted(key, clock.now()));
        clearReservations(request);
    }

    private static void clearReservations(RequestState request) {
        request.prefillState = null;
        request.prefillStateKey = null;
        clearDecodeSlot(request);
    }

    // Decode slots

    /** Records a decode slot that was reserved or may have been reserved. */
    void recordDecodeSlot(
            RequestState request, String engine, String slot, Hold.Certainty certainty) {
        ReservationKey key =
                oneKeyPerRequest
                        ? ReservationKey.ofRequest(request.name)
                        : decodeSlotKey(request.name);
        table.addHold(key, Hold.ofDecodeSlot(engine, slot, certainty), clock.now());
        if (certainty == Hold.Certainty.CONFIRMED) {
            request.decodeSlotEngine = engine;
            request.decodeSlot = slot;
        } else if (!oneKeyPerRequest) {
            table.markUnwanted(key, clock.now());
        }
        if (request.runningAttempt != null && request.runningAttempt.prefill) {
            String prefillEngine = request.runningAttempt.engine;
            table.attemptSent(key, AttemptPurpose.PREFILL, prefillEngine, clock.now());
            table.attemptDelivered(key, clock.now());
        }
    }

    /** Releases a slot that was, or may be, reserved for a request that can no longer use it. */
    void releaseUnusableDecodeSlot(String engine, String slot) {
        ReservationKey key =
                oneKeyPerRequest ? ReservationKey.ofRequest(slot) : decodeSlotKey(slot);
        table.addHold(key, Hold.ofDecodeSlot(engine, slot, Hold.Certainty.CONFIRMED), clock.now());
        table.markUnwanted(key, clock.now());
    }

    /**
     * Claims the slot reserved at an engine. A slot reserved elsewhere is dropped: released at once
     * if it has its own key, otherwise with the request's other reservations.
     *
     * @return name of the slot, or empty if none is reserved at the engine
     */
    String claimDecodeSlot(RequestState request, String engine) {
        if (engine.equals(request.decodeSlotEngine)) {
            return request.decodeSlot;
        }
        if (!oneKeyPerRequest && request.decodeSlotEngine != null) {
            table.markUnwanted(decodeSlotKey(request.name), clock.now());
        }
        clearDecodeSlot(request);
        return "";
    }

    private static void clearDecodeSlot(RequestState request) {
        request.decodeSlotEngine = null;
        request.decodeSlot = "";
    }

    // Release calls

    void releaseCompleted(long releaseId, boolean released) {
        table.releaseCompleted(releaseId, released, clock.now());
    }

    /** Sends the release calls that are due. */
    void advance() {
        table.advance(clock.now());
    }

    /** {@return when {@link #advance()} has to be called next; Long.MAX_VALUE for never} */
    long nextDueMicros() {
        return table.nextDueMicros();
    }

    int wantedCount() {
        return table.wantedCount();
    }

    int size() {
        return table.size();
    }

    int releasableCount() {
        return table.releasableCount();
    }

    Map<ReleaseCause, Long> releasesByCause() {
        return table.callsByCause();
    }

    long oldestMicros() {
        return table.oldestMicros(clock.now());
    }

    long expiredCount() {
        return table.expiredCount();
    }

    // Keys

    private ReservationKey keyOf(Attempt attempt) {
        String request = attempt.request.name;
        return oneKeyPerRequest
                ? ReservationKey.ofRequest(request)
                : new ReservationKey(request, attempt.id.number());
    }

    private static ReservationKey decodeSlotKey(String name) {
        return new ReservationKey(name, DECODE_SLOT);
    }

    /** {@return the keys of the reservations that an attempt of the request may use} */
    private List<ReservationKey> keysOf(RequestState request) {
        if (oneKeyPerRequest) {
            return List.of(ReservationKey.ofRequest(request.name));
        }
        List<ReservationKey> keys = new ArrayList<>(2);
        if (request.prefillStateKey != null) {
            keys.add(request.prefillStateKey);
        }
        if (request.decodeSlotEngine != null) {
            keys.add(decodeSlotKey(request.name));
        }
        return keys;
    }
}
