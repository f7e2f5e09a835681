package sorrelhoist.adapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.List;
import sorrelhoist.adapter.SimulatorProtocol.Field;
import sorrelhoist.adapter.SimulatorProtocol.Sent;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingActions.Cancel;
import sorrelhoist.routing.RoutingActions.CloseIdle;
import sorrelhoist.routing.RoutingActions.Fail;
import sorrelhoist.routing.RoutingActions.FetchList;
import sorrelhoist.routing.RoutingActions.Follow;
import sorrelhoist.routing.RoutingActions.Log;
import sorrelhoist.routing.RoutingActions.Move;
import sorrelhoist.routing.RoutingActions.Probe;
import sorrelhoist.routing.RoutingActions.Refuse;
import sorrelhoist.routing.RoutingActions.Release;
import sorrelhoist.routing.RoutingActions.Reserve;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingActions.Tell;
import sorrelhoist.routing.RoutingActions.Timer;

/**
 * Encodes the actions of one round into one reply line. The line is buffered, so that no part of
 * the reply is written if the round fails.
 */
final class ActionEncoder {
    private static final JsonFactory JSON = new JsonFactory();

    private final StringWriter buffer = new StringWriter();
    private final JsonGenerator json;

    /** Starts the reply to a round. */
    ActionEncoder(long round) {
        try {
            json = JSON.createGenerator(buffer);
            json.writeStartObject();
            json.writeNumberField(Field.ROUND, round);
            json.writeArrayFieldStart(Field.OUTPUT);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Appends a router's actions to the reply, in the given order. */
    void add(long routerId, List<Action> actions) {
        try {
            for (Action action : actions) {
                json.writeStartObject();
                if (!writeRequestAction(routerId, action)) {
                    writeRouterAction(routerId, action);
                }
                json.writeEndObject();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Completes the reply. {@return the reply line, terminated by a line feed} */
    String finish() {
        try {
            json.writeEndArray();
            json.writeEndObject();
            json.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return buffer + "\n";
    }

    /** Writes an action of one request. {@return false if the action belongs to no request} */
    private boolean writeRequestAction(long routerId, Action action) throws IOException {
        if (action instanceof Send send) {
            writeHead(Sent.SEND_ATTEMPT, routerId, send.id(), send.server());
            json.writeNumberField(Field.ATTEMPT_TIMEOUT_AT_MICROS, send.cutAt());
        } else if (action instanceof Release release) {
            writeHead(Sent.RELEASE_RESERVATION, routerId, release.id());
        } else if (action instanceof Refuse rejection) {
            writeHead(Sent.REJECT_REQUEST, routerId, rejection.id());
            json.writeNumberField(Field.BACKOFF_MICROS, rejection.backoffMicros());
        } else if (action instanceof Fail failure) {
            writeHead(Sent.FAIL_REQUEST, routerId, failure.id());
        } else if (action instanceof Cancel cancel) {
            writeHead(Sent.CANCEL_ATTEMPT, routerId, cancel.id());
            json.writeNumberField(Field.ATTEMPT, cancel.attempt());
        } else if (action instanceof Reserve reserve) {
            writeHead(Sent.RESERVE, routerId, reserve.id(), reserve.server());
        } else if (action instanceof Move move) {
            writeHead(Sent.MIGRATE, routerId, move.id());
        } else {
            return false;
        }
        return true;
    }

    private void writeRouterAction(long routerId, Action action) throws IOException {
        if (action instanceof Timer timer) {
            writeHead(Sent.SET_TIMER, routerId);
            json.writeNumberField(Field.TIMER_DELAY_MICROS, timer.delayMicros());
            json.writeNumberField(Field.TIMER_TOKEN, timer.token());
        } else if (action instanceof Probe probe) {
            writeHead(Sent.PROBE, routerId);
            json.writeStringField(Field.SERVER, probe.server());
        } else if (action instanceof CloseIdle close) {
            writeHead(Sent.CLOSE_IDLE_CONNECTIONS, routerId);
            json.writeStringField(Field.SERVER, close.server());
        } else if (action instanceof Tell message) {
            writeHead(Sent.SEND_PEER_MESSAGE, routerId);
            json.writeNumberField(Field.PEER_RECIPIENT, message.to());
            json.writeStringField(Field.PEER_BODY, message.body());
        } else if (action instanceof Follow follow) {
            writeHead(Sent.FOLLOW_DISCOVERY, routerId);
            json.writeBooleanField(Field.FOLLOW_WANTED, follow.on());
        } else if (action instanceof FetchList) {
            writeHead(Sent.FETCH_ENDPOINT_LIST, routerId);
        } else if (action instanceof Log log) {
            writeHead(Sent.WRITE_LOG, routerId);
            json.writeStringField(Field.LOG_TEXT, log.text());
        }
    }

    private void writeHead(String operation, long routerId) throws IOException {
        json.writeStringField(Field.OPERATION, operation);
        json.writeNumberField(Field.ROUTER_ID, routerId);
    }

    private void writeHead(String operation, long routerId, long requestId) throws IOException {
        writeHead(operation, routerId);
        json.writeNumberField(Field.REQUEST_ID, requestId);
    }

    private void writeHead(String operation, long routerId, long requestId, String server)
            throws IOException {
        writeHead(operation, routerId, requestId);
        json.writeStringField(Field.SERVER, server);
    }
}
