package sorrelhoist.standin.engine;

import java.util.function.Predicate;
import sorrelhoist.protocol.engine.FetchReply;
import sorrelhoist.protocol.engine.FetchRequest;
import sorrelhoist.protocol.engine.ReleaseReply;
import sorrelhoist.protocol.engine.ReleaseRequest;
import sorrelhoist.protocol.engine.ReserveReply;
import sorrelhoist.protocol.engine.ReserveRequest;
import sorrelhoist.protocol.grpc.ServerCall;
import sorrelhoist.protocol.grpc.StatusCode;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.standin.TraceWriter;
import sorrelhoist.standin.engine.PrefillStateStore.FreedBy;

/** The methods on what an engine holds for a request: reserve, release and fetch. */
final class ReservationService {
    /** What it reads and changes of the engine's state. */
    record State(PrefillStateStore states, SlotReservations reservations, IdSequence ids) {}

    private final EngineSettings settings;
    private final State state;
    private final EngineLoad load;
    private final WorkQueue queue;
    private final InjectedFaults faults;
    private final CallResponder responder;

    ReservationService(
            EngineSettings settings,
            State state,
            EngineLoad load,
            WorkQueue queue,
            InjectedFaults faults,
            CallResponder responder) {
        this.settings = settings;
        this.state = state;
        this.load = load;
        this.queue = queue;
        this.faults = faults;
        this.responder = responder;
    }

    /** Reserves a decode slot with its memory if one is free now. */
    void reserve(ServerCall call, byte[] message) {
        try {
            ReserveRequest request = ReserveRequest.parse(message);
            int tokens = request.promptTokens() + request.maxTokens();
            boolean reserved = canReserve(tokens);
            String id = reserved ? state.ids().nextReservationId() : "";
            if (reserved) {
                state.reservations().reserve(id, tokens, TraceWriter.nowMicros());
            }
            responder.reply(call, new ReserveReply(reserved, id).toByteArray());
        } catch (ProtoException e) {
            responder.fail(call, StatusCode.INVALID_ARGUMENT, e.getMessage());
        }
    }

    private boolean canReserve(int tokens) {
        return settings.servesDecode()
                && !faults.isDraining()
                && queue.waitingDecodeCount() == 0
                && queue.runningDecodeCount() + state.reservations().size() < settings.slots()
                && load.fits(tokens);
    }

    /**
     * Releases a reservation and prefill states: the state that is named, or, where the request
     * names neither state nor reservation, all states of the request's attempts up to its last.
     */
    void release(ServerCall call, byte[] message) {
        try {
            ReleaseRequest request = ReleaseRequest.parse(message);
            boolean slotReleased = state.reservations().remove(request.reservationId());
            boolean stateReleased = state.states().releaseIf(statesMeantBy(request));
            boolean released = slotReleased || stateReleased;
            responder.reply(call, new ReleaseReply(released).toByteArray());
        } catch (ProtoException e) {
            responder.fail(call, StatusCode.INVALID_ARGUMENT, e.getMessage());
        }
    }

    private static Predicate<PrefillState> statesMeantBy(ReleaseRequest request) {
        if (request.stateId().isEmpty() && request.reservationId().isEmpty()) {
            return held ->
                    held.requestId().equals(request.requestId())
                            && held.attempt() <= request.lastAttempt();
        }
        return held -> held.id().equals(request.stateId());
    }

    /** Hands a prefill state over to another engine. */
    void fetch(ServerCall call, byte[] message) {
        try {
            String stateId = FetchRequest.parse(message).stateId();
            PrefillState fetched = state.states().free(stateId, FreedBy.FETCH);
            if (fetched == null) {
                responder.fail(call, StatusCode.NOT_FOUND, "no such state");
                return;
            }
            FetchReply reply =
                    new FetchReply(fetched.tokens(), fetched.digest(), settings.rackPath());
            responder.reply(call, reply.toByteArray());
        } catch (ProtoException e) {
            responder.fail(call, StatusCode.INVALID_ARGUMENT, e.getMessage());
        }
    }
}
