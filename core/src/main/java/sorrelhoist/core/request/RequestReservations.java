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
 * Tells the reservation table what happens to requests. Where holders release by name, each prefill
 * state and each decode slot has a key of its own, released as soon as nothing needs it; where any
 * engine releases all of a request, the request has one key.
 */
final class RequestReservations {
    private static final int KEYS_PER_REQUEST = 4;

    /** In place of an attempt's number in a key: the decode slot. */
    private static final int DECODE_SLOT = -2;

    /** After so many retry intervals without a word, while others spoke, an engine is silent. */
    private static final int SILENT_RETRIES = 2;

    /** Whether one key stands for all that a request has reserved. */
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
                        oneKeyPerRequest ? engines : this::holder,
                        new ReleaseCommands(commands),
                        KEYS_PER_REQUEST * settings.maxOpenRequests());
    }

    /**
     * An engine that is not listed may run on for a while, so it is asked once; what it held after
     * that went with it.
     */
    private String holder(Hold hold, Set<String> asked) {
        return asked.isEmpty() || engines.isListed(hold.engine()) ? hold.engine() : null;
    }

    /** Turns the table's calls into commands. */
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

    /** The endpoint list, or an update of it. */
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

    /** Bytes came from an engine. */
    void bytesReceived(String engine) {
        engines.bytesReceived(engine, clock.now());
    }

    /** {@return whether an engine is on the endpoint list} */
    boolean isListed(String engine) {
        return engines.isListed(engine);
    }

    /** An engine was heard of which a sign of life was awaited. */
    void awaitedEngineHeard(String engine) {
        table.engineHeard(engine, clock.now());
    }

    /** An engine left the list: nothing that was on its way there arrives any more. */
    void engineRemoved(String engine) {
        table.engineRemoved(engine, clock.now());
    }

    // Attempts

    /**
     * An attempt is about to go out. A prefill makes a state of its own: an earlier one is not
     * fetched any more.
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
                // Holders are called by a transport that cannot tell what is written.
                table.attemptDelivered(key, clock.now());
            }
        }
    }

    private static AttemptPurpose purposeOf(Attempt attempt) {
        if (attempt.prefill) {
            return AttemptPurpose.PREFILL;
        }
        RequestState request = attempt.request;
        boolean takesReservation =
                request.prefillState != null || attempt.engine.equals(request.decodeSlotEngine);
        return takesReservation
                ? AttemptPurpose.DECODE_RESERVED
                : AttemptPurpose.PREFILL_AND_DECODE;
    }

    /** The running attempt waits for a connection. */
    void connecting(RequestState request) {
        keysOf(request).forEach(key -> table.attemptConnecting(key, clock.now()));
    }

    /** The last byte of the running attempt was written. */
    void written(RequestState request) {
        keysOf(request).forEach(key -> table.attemptWritten(key, clock.now()));
    }

    /** The running attempt's engine has it. */
    void delivered(RequestState request) {
        keysOf(request).forEach(key -> table.attemptDelivered(key, clock.now()));
    }

    /** {@return since when something that is held for a request waits; now where nothing is} */
    long heldSince(RequestState request) {
        return keysOf(request).stream()
                .mapToLong(key -> table.idleSince(key, clock.now()))
                .min()
                .orElse(clock.now());
    }

    /** A prefill ended well: its state waits at the engine. */
    void prefillCompleted(Attempt attempt, String stateId) {
        RequestState request = attempt.request;
        request.prefillState = new HeldPrefillState(attempt.engine, stateId);
        request.prefillStateKey = keyOf(attempt);
        table.prefillCompleted(
                request.prefillStateKey, Hold.ofPrefillState(attempt.engine, stateId), clock.now());
    }

    /**
     * A running attempt ended, well or not; what it leaves is said by the other methods.
     *
     * @param attempt which
     * @param outcome how
     * @param awaitsEngine whether its engine has to be heard before its end is known there
     */
    void attemptEnded(Attempt attempt, Outcome outcome, boolean awaitsEngine) {
        AttemptEnding ending = AttemptHolds.endingOf(attempt, outcome);
        Hold left = AttemptHolds.leftBy(attempt, outcome, awaitsEngine);
        if (left != null && (left.isState() || mayWaitFor(attempt))) {
            ReservationKey key = keyOf(attempt);
            table.opened(key, left, clock.now());
            if (!oneKeyPerRequest) {
                table.unwanted(key, clock.now());
            }
        }
        keysOf(attempt.request).forEach(key -> table.attemptEnded(key, ending, clock.now()));
    }

    /** {@return whether something is held that a decode may wait for in its engine's queue} */
    boolean mayWaitFor(Attempt decode) {
        return oneKeyPerRequest && table.isHeld(keyOf(decode));
    }

    /** A stream began: its engine has fetched the state and used the slot. */
    void taken(RequestState request) {
        keysOf(request).forEach(key -> table.taken(key, clock.now()));
        forget(request);
    }

    /**
     * A decode engine could not fetch the state. It may be held all the same, where only that
     * engine cannot reach it.
     */
    void prefillStateNotFetched(RequestState request) {
        keysOf(request)
                .forEach(key -> table.attemptEnded(key, AttemptEnding.ANSWERED, clock.now()));
        dropPrefillState(request);
    }

    /** {@return whether the prefill state of a request may have been released before its decode} */
    boolean isPrefillStateReleased(RequestState request) {
        ReservationKey key = ReservationKey.ofRequest(request.name);
        return oneKeyPerRequest && (!table.isHeld(key) || table.wasReleasedBesideDecode(key));
    }

    /** No attempt of a request uses its prefill state any more; the prompt is read again. */
    void dropPrefillState(RequestState request) {
        if (oneKeyPerRequest) {
            table.prefillStatesUnneeded(ReservationKey.ofRequest(request.name));
        } else if (request.prefillStateKey != null) {
            table.unwanted(request.prefillStateKey, clock.now());
        }
        request.prefillState = null;
        request.prefillStateKey = null;
    }

    /** Releases all that a request has reserved, unless a running attempt may take it. */
    void release(RequestState request) {
        if (request.runningAttempt != null) {
            return;
        }
        keysOf(request).forEach(key -> table.unwanted(key, clock.now()));
        forget(request);
    }

    private static void forget(RequestState request) {
        request.prefillState = null;
        request.prefillStateKey = null;
        forgetDecodeSlot(request);
    }

    // Decode slots

    /** A decode slot was reserved, or may have been. */
    void decodeSlot(RequestState request, String engine, String slot, Hold.Certainty certainty) {
        ReservationKey key =
                oneKeyPerRequest
                        ? ReservationKey.ofRequest(request.name)
                        : decodeSlotKey(request.name);
        table.opened(key, Hold.ofDecodeSlot(engine, slot, certainty), clock.now());
        if (certainty == Hold.Certainty.CONFIRMED) {
            request.decodeSlotEngine = engine;
            request.decodeSlot = slot;
        } else if (!oneKeyPerRequest) {
            table.unwanted(key, clock.now());
        }
        if (request.runningAttempt != null && request.runningAttempt.prefill) {
            String prefillEngine = request.runningAttempt.engine;
            table.attemptSent(key, AttemptPurpose.PREFILL, prefillEngine, clock.now());
            table.attemptDelivered(key, clock.now());
        }
    }

    /** A slot was reserved, or may have been, for a request that cannot use it any more. */
    void unwantedDecodeSlot(String engine, String slot) {
        ReservationKey key =
                oneKeyPerRequest ? ReservationKey.ofRequest(slot) : decodeSlotKey(slot);
        table.opened(key, Hold.ofDecodeSlot(engine, slot, Hold.Certainty.CONFIRMED), clock.now());
        table.unwanted(key, clock.now());
    }

    /**
     * Claims the slot that is reserved at an engine; one that is reserved elsewhere is released.
     *
     * @return the slot's name, or empty where none is reserved there
     */
    String claimDecodeSlot(RequestState request, String engine) {
        if (engine.equals(request.decodeSlotEngine)) {
            return request.decodeSlot;
        }
        if (!oneKeyPerRequest && request.decodeSlotEngine != null) {
            table.unwanted(decodeSlotKey(request.name), clock.now());
        }
        forgetDecodeSlot(request);
        return "";
    }

    private static void forgetDecodeSlot(RequestState request) {
        request.decodeSlotEngine = null;
        request.decodeSlot = "";
    }

    // Release calls

    void releaseCompleted(long releaseId, boolean released) {
        table.releaseCompleted(releaseId, released, clock.now());
    }

    /** Makes the release calls that are due. */
    void advance() {
        table.advance(clock.now());
    }

    /** {@return when {@link #advance()} is next needed; Long.MAX_VALUE for never} */
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

    /** {@return the keys of what an attempt of the request may take} */
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
