package sorrelhoist.adapter;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sorrelhoist.adapter.SimulatorProtocol.Field;
import sorrelhoist.adapter.SimulatorProtocol.LoadField;
import sorrelhoist.adapter.SimulatorProtocol.Received;
import sorrelhoist.routing.RoutingEvents.Arrived;
import sorrelhoist.routing.RoutingEvents.AttemptEnded;
import sorrelhoist.routing.RoutingEvents.ClientGone;
import sorrelhoist.routing.RoutingEvents.Event;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Members;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.PeerMessage;
import sorrelhoist.routing.RoutingEvents.PlaceAnswered;
import sorrelhoist.routing.RoutingEvents.ProbeAnswered;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerLoad;
import sorrelhoist.routing.RoutingEvents.ServerState;
import sorrelhoist.routing.RoutingEvents.StreamStarted;
import sorrelhoist.routing.RoutingEvents.TimerFired;
import sorrelhoist.routing.RoutingSettings;

/** Decodes the simulator's messages to one router into events for its routing policy. */
final class EventDecoder {
    private static final long REQUEST_ID_LIMIT = 1L << 52;
    private static final long RESERVATION_GRANTED = 1;
    private static final double KILOTOKEN = 1000;
    private static final WordTable<ServerState> SERVER_STATES =
            new WordTable<>(
                    Map.of(
                            "in_service", ServerState.SERVING,
                            "terminating", ServerState.DRAINING,
                            "terminated", ServerState.GONE));
    private static final WordTable<ListUpdateKind> UPDATE_KINDS =
            new WordTable<>(
                    Map.of(
                            "update", ListUpdateKind.UPDATE,
                            "replace", ListUpdateKind.COMPLETE,
                            "restored", ListUpdateKind.RESTORED,
                            "unavailable", ListUpdateKind.UNAVAILABLE));
    private static final WordTable<Outcome> OUTCOMES =
            new WordTable<>(
                    Map.of(
                            "done", Outcome.DONE,
                            "read", Outcome.READ,
                            "err", Outcome.ERROR,
                            "busy", Outcome.FULL,
                            "etimedout", Outcome.TIMED_OUT,
                            "econnrefused", Outcome.CONNECT_FAILED,
                            "econnreset", Outcome.RESET,
                            "ecanceled", Outcome.CANCELLED,
                            "skipped", Outcome.SKIPPED));

    private final RoutingSettings settings;
    private final Map<Long, JsonObject> endpointLists;

    /**
     * Creates a decoder for one router.
     *
     * @param settings the router's settings; the sizes of their lists limit indices in messages
     * @param endpointLists the endpoint lists that the simulator defined, by number; not modified
     */
    EventDecoder(RoutingSettings settings, Map<Long, JsonObject> endpointLists) {
        this.settings = settings;
        this.endpointLists = endpointLists;
    }

    /** {@return the event that a message describes} */
    Event decode(String operation, JsonObject message) throws InvalidMessageException {
        return switch (operation) {
            case Received.ENDPOINTS_UPDATED -> endpointsUpdated(message);
            case Received.REQUEST_ARRIVED -> requestArrived(message);
            case Received.RESERVATION_ANSWERED -> reservationAnswered(message);
            case Received.ATTEMPT_ENDED -> attemptEnded(message);
            case Received.STREAM_STARTED ->
                    new StreamStarted(
                            requestId(message),
                            attempt(message),
                            message.getString(Field.SERVER),
                            message.getLong(Field.LATENCY_MICROS, 0));
            case Received.PROBE_ANSWERED -> probeAnswered(message);
            case Received.TIMER_FIRED -> new TimerFired(message.getLong(Field.TIMER_TOKEN, 0));
            case Received.PEER_MESSAGE ->
                    new PeerMessage(
                            (int) message.getLong(Field.PEER_SENDER, 0),
                            message.getString(Field.PEER_BODY));
            case Received.CLIENT_DISCONNECTED -> new ClientGone(requestId(message));
            default ->
                    throw new InvalidMessageException(
                            "field \""
                                    + Field.OPERATION
                                    + "\": unknown message \""
                                    + operation
                                    + "\"");
        };
    }

    private Event endpointsUpdated(JsonObject message) throws InvalidMessageException {
        ListUpdateKind kind = UPDATE_KINDS.read(message, Field.UPDATE_KIND);
        return new Members(
                kind, kind == ListUpdateKind.UNAVAILABLE ? List.of() : listedServers(message));
    }

    private List<Server> listedServers(JsonObject message) throws InvalidMessageException {
        long number = message.getLong(Field.LIST_NUMBER, 0);
        JsonObject list = endpointLists.get(number);
        if (list == null) {
            throw new InvalidMessageException(
                    "field \"" + Field.LIST_NUMBER + "\": list " + number + " was never defined");
        }
        List<Server> servers = new ArrayList<>();
        for (JsonObject row : list.getObjects(Field.LIST_ROWS)) {
            servers.add(server(row));
        }
        return servers;
    }

    private Server server(JsonObject row) throws InvalidMessageException {
        return new Server(
                row.getString(Field.SERVER),
                (int) row.getLong(Field.SERVER_ZONE, 0, 0),
                row.getIndexOrZero(Field.SERVER_KIND, settings.serverKinds().size()),
                (int) row.getLong(Field.SERVER_CELL, 0, 0),
                SERVER_STATES.read(row, Field.SERVER_STATE),
                row.getDouble(Field.SERVER_SIZE, 1),
                row.getLong(Field.SERVER_SINCE_MICROS, 0, 0));
    }

    private Event requestArrived(JsonObject message) throws InvalidMessageException {
        return new Arrived(
                requestId(message),
                message.getIndex(Field.REQUEST_CLASS, settings.classes().size()),
                message.getIndexOrZero(Field.TENANT, Math.max(1, settings.tenants().size())),
                message.getString(Field.SESSION, null),
                message.getString(Field.PREFIX, null),
                message.getLong(Field.PROMPT_TOKENS, 0, 0),
                message.getLong(Field.PREFIX_TOKENS, 0, 0),
                message.getLong(Field.MAX_OUTPUT_TOKENS, 0, 0),
                message.getLong(Field.BUDGET_MICROS, 0),
                message.getBoolean(Field.IS_RETRY));
    }

    private static Event reservationAnswered(JsonObject message) throws InvalidMessageException {
        return new PlaceAnswered(
                requestId(message),
                message.getString(Field.SERVER),
                message.getLong(Field.RESERVATION_RESULT, 1) == RESERVATION_GRANTED);
    }

    private static Event attemptEnded(JsonObject message) throws InvalidMessageException {
        return new AttemptEnded(
                requestId(message),
                attempt(message),
                message.getString(Field.SERVER),
                OUTCOMES.read(message, Field.OUTCOME),
                message.getLong(Field.LATENCY_MICROS, 0),
                message.getBoolean(Field.STREAM_ENDED),
                message.getLong(Field.OUTCOME_DETAIL, 0, 0),
                loadReport(message));
    }

    private static Event probeAnswered(JsonObject message) throws InvalidMessageException {
        return new ProbeAnswered(
                message.getString(Field.SERVER),
                OUTCOMES.read(message, Field.OUTCOME),
                message.getLong(Field.LATENCY_MICROS, 0),
                loadReport(message));
    }

    /** {@return the load that a server reported; NaN for each value that is missing} */
    private static ServerLoad loadReport(JsonObject message) throws InvalidMessageException {
        Map<String, Double> values = message.getObject(Field.LOAD_REPORT).toDoubles();
        return new ServerLoad(
                values.getOrDefault(LoadField.MEMORY_SHARE, Double.NaN),
                KILOTOKEN * values.getOrDefault(LoadField.WAITING_KILOTOKENS, Double.NaN),
                values.getOrDefault(LoadField.IN_FLIGHT, Double.NaN),
                values.getOrDefault(LoadField.QUEUED, Double.NaN));
    }

    private static long requestId(JsonObject message) throws InvalidMessageException {
        long id = message.getLong(Field.REQUEST_ID, 0);
        if (id >= REQUEST_ID_LIMIT) {
            throw InvalidMessageException.outOfRange(Field.REQUEST_ID);
        }
        return id;
    }

    private static int attempt(JsonObject message) throws InvalidMessageException {
        return message.getIndex(Field.ATTEMPT, Integer.MAX_VALUE);
    }
}
