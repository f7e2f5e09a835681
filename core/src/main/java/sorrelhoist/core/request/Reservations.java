package sorrelhoist.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import sorrelhoist.core.reservation.AttemptPurpose;
import sorrelhoist.core.reservation.EngineActivity;
import sorrelhoist.core.reservation.Hold;
import sorrelhoist.core.reservation.ReleaseCall;
import sorrelhoist.core.reservation.ReleasePolicy;
import sorrelhoist.core.reservation.ReleaseReach;
import sorrelhoist.core.reservation.ReleaseClient;
import sorrelhoist.core.reservation.ReservationKey;
import sorrelhoist.core.reservation.ReservationTable;
import sorrelhoist.routing.Routing.ListUpdateKind;
import sorrelhoist.routing.Routing.Outcome;
import sorrelhoist.routing.Routing.Server;
import sorrelhoist.routing.Routing.ServerState;

/**
 * Tells the table of reservations what happens to requests. Where holders release by name, each
 * state and place has a key of its own, released as soon as nothing needs it; where any engine
 * releases all of a request, the request has one.
 */
final class Reservations {
    private static final int ROOM = 4; // keys for each request that may be open
    private static final int PLACE = -2; // in place of an attempt's number: the place held ahead
    private static final int SILENT_RETRIES =
            2; // an engine that said nothing for so many waits while others spoke is silent
    private final boolean shared;
    private final ReservationTable table;
    private final EngineActivity engines;

    Reservations(RouterSettings settings, Consumer<Command> carrier) {
        ReleasePolicy policy = settings.releasePolicy();
        shared = policy.reach() == ReleaseReach.ANY_ENGINE;
        engines = new EngineActivity(SILENT_RETRIES * policy.retryMicros());
        table =
                new ReservationTable(
                        policy,
                        shared ? engines : this::holder,
                        new Commands(carrier),
                        ROOM * settings.maxOpenRequests());
    }

    /**
     * An engine that is not listed may run on for a while; what it held after that went with it.
     */
    private String holder(Hold hold, Set<String> asked) {
        return asked.isEmpty() || engines.isListed(hold.engine()) ? hold.engine() : null;
    }

    /** Turns the table's calls into commands. */
    private record Commands(Consumer<Command> carrier) implements ReleaseClient {
        @Override
        public void release(ReleaseCall call) {
            Hold hold = call.hold();
            carrier.accept(
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
            carrier.accept(new Command.AbandonRelease(call));
        }

        @Override
        public void expired(ReservationKey key, String engine, int calls) {
            carrier.accept(new Command.ReportExpiredRelease(key.requestName(), engine, calls));
        }
    }

    // ---- Engines
    // ------------------------------------------------------------------------------------------

    /** The list of engines, or news of it. */
    void members(ListUpdateKind form, List<Server> servers) {
        if (form == ListUpdateKind.COMPLETE) {
            engines.replaced(
                    servers.stream()
                            .filter(s -> s.state() != ServerState.GONE)
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
    void heard(String engine, long now) {
        engines.bytesReceived(engine, now);
    }

    // ---- Attempts
    // -----------------------------------------------------------------------------------------

    /**
     * An attempt is about to go out. A read makes a state of its own: an earlier one is not fetched
     * any more.
     */
    void sending(Life life, Life.Attempt attempt, long now) {
        if (attempt.read) {
            dropState(life, now);
        }
        boolean takes = life.state != null || attempt.engine.equals(life.placeEngine);
        AttemptPurpose purpose =
                attempt.read
                        ? AttemptPurpose.PREFILL
                        : takes ? AttemptPurpose.DECODE_RESERVED : AttemptPurpose.PREFILL_AND_DECODE;
        for (ReservationKey key : keys(life)) {
            table.attemptSent(key, purpose);
            table.attemptWritten(key);
        }
    }

    /** The attempt that is out waits for a connection. */
    void connecting(Life life) {
        keys(life).forEach(table::attemptConnecting);
    }

    /** The last byte of the attempt that is out was written. */
    void written(Life life) {
        keys(life).forEach(table::attemptWritten);
    }

    /** A read ended well: its state waits there. */
    void readDone(Life life, Life.Attempt read, String state, long now) {
        life.state = new HeldPrefillState(read.engine, state);
        life.stateKey = keyOf(life, read.id.number());
        table.prefillCompleted(life.stateKey, Hold.ofPrefillState(read.engine, state), now);
    }

    /** An attempt that is out ended, well or not; what it leaves is said by the other methods. */
    void ended(Life life, Life.Attempt attempt, Outcome outcome, long now) {
        boolean reached = attempt.written && outcome != Outcome.CONNECT_FAILED;
        if (attempt.read && reached && outcome != Outcome.READ && outcome != Outcome.FULL) {
            // It may have ended well in the moment in which it was lost or given up on.
            ReservationKey key = keyOf(life, attempt.id.number());
            table.opened(key, Hold.ofLostPrefill(attempt.engine, attempt.id.number()), now);
            if (!shared) {
                table.unwanted(key, now);
            }
        }
        keys(life).forEach(key -> table.attemptEnded(key, reached, now));
    }

    /** A stream began: its engine has fetched the state and used the place. */
    void taken(Life life, long now) {
        keys(life).forEach(key -> table.taken(key, now));
        life.state = null;
        life.stateKey = null;
        life.placeEngine = null;
        life.place = "";
    }

    /**
     * A writer could not fetch the state. It may be held all the same, where only that writer
     * cannot reach it.
     */
    void notFetched(Life life, long now) {
        keys(life).forEach(key -> table.attemptEnded(key, true, now));
        dropState(life, now);
    }

    private void dropState(Life life, long now) {
        if (shared) {
            table.prefillStatesUnneeded(ReservationKey.ofRequest(life.name));
        } else if (life.stateKey != null) {
            table.unwanted(life.stateKey, now);
        }
        life.state = null;
        life.stateKey = null;
    }

    /** Releases all that is held for a request, unless an attempt is out that may take it. */
    void release(Life life, long now) {
        if (life == null || life.out != null) {
            return;
        }
        keys(life).forEach(key -> table.unwanted(key, now));
        life.state = null;
        life.stateKey = null;
        life.placeEngine = null;
        life.place = "";
    }

    // ---- Places
    // -------------------------------------------------------------------------------------------

    /** A place was held ahead, or may have been. */
    void place(Life life, String engine, String place, Hold.Certainty certainty, long now) {
        ReservationKey key = shared ? ReservationKey.ofRequest(life.name) : placeKey(life);
        table.opened(key, Hold.ofDecodeSlot(engine, place, certainty), now);
        if (certainty == Hold.Certainty.CONFIRMED) {
            life.placeEngine = engine;
            life.place = place;
        } else if (!shared) {
            table.unwanted(key, now);
        }
        if (life.out != null && life.out.read) {
            table.attemptSent(key, AttemptPurpose.PREFILL);
            table.attemptWritten(key);
        }
    }

    /** A place was held, or may have been, for a request that cannot use it any more. */
    void unwantedPlace(String engine, String place, long now) {
        ReservationKey key =
                shared ? ReservationKey.ofRequest(place) : new ReservationKey(place, PLACE);
        table.opened(key, Hold.ofDecodeSlot(engine, place, Hold.Certainty.CONFIRMED), now);
        table.unwanted(key, now);
    }

    /**
     * Releases a place that is held elsewhere. {@return the place to use at this engine, or empty}
     */
    String placeAt(Life life, String engine, long now) {
        if (engine.equals(life.placeEngine)) {
            return life.place;
        }
        if (!shared && life.placeEngine != null) {
            table.unwanted(placeKey(life), now);
        }
        life.placeEngine = null;
        life.place = "";
        return "";
    }

    // ---- Calls
    // --------------------------------------------------------------------------------------------

    void releaseEnded(long call, boolean done, long now) {
        table.releaseCompleted(call, done, now);
    }

    void advance(long now) {
        table.advance(now);
    }

    long next() {
        return table.nextDueMicros();
    }

    int held() {
        return table.wantedCount();
    }

    int size() {
        return table.size();
    }

    long expired() {
        return table.expiredCount();
    }

    // ---- Keys
    // ---------------------------------------------------------------------------------------------

    private ReservationKey keyOf(Life life, int attempt) {
        return shared
                ? ReservationKey.ofRequest(life.name)
                : new ReservationKey(life.name, attempt);
    }

    private static ReservationKey placeKey(Life life) {
        return new ReservationKey(life.name, PLACE);
    }

    /** {@return the keys of what an attempt of the request may take} */
    private List<ReservationKey> keys(Life life) {
        if (shared) {
            return List.of(ReservationKey.ofRequest(life.name));
        }
        List<ReservationKey> keys = new ArrayList<>(2);
        if (life.stateKey != null) {
            keys.add(life.stateKey);
        }
        if (life.placeEngine != null) {
            keys.add(placeKey(life));
        }
        return keys;
    }
}
