package sorrelhoist.adapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.List;
import sorrelhoist.routing.Routing.*;

/** Writes one reply; nothing of it leaves before the whole is there. */
final class ActionEncoder {
    private static final JsonFactory JSON = new JsonFactory();

    private final StringWriter text = new StringWriter();
    private final JsonGenerator json;

    ActionEncoder(long round) {
        try {
            json = JSON.createGenerator(text);
            json.writeStartObject();
            json.writeNumberField("round", round);
            json.writeArrayFieldStart("output");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    void add(long instance, List<Action> actions) {
        try {
            for (Action action : actions) {
                json.writeStartObject();
                fields(instance, action);
                json.writeEndObject();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    String line() {
        try {
            json.writeEndArray();
            json.writeEndObject();
            json.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text + "\n";
    }

    private void fields(long instance, Action action) throws IOException {
        if (action instanceof Send a) {
            head("assign", instance, a.id(), a.server());
            json.writeNumberField("cut-at-us", a.cutAt());
        } else if (action instanceof Timer a) {
            head("arm", instance);
            json.writeNumberField("wait-us", a.delayMicros());
            json.writeNumberField("label", a.token());
        } else if (action instanceof Release a) {
            head("unhold", instance, a.id());
        } else if (action instanceof Refuse a) {
            head("turn-away", instance, a.id());
            json.writeNumberField("backoff-us", a.backoffMicros());
        } else if (action instanceof Fail a) {
            head("drop-request", instance, a.id());
        } else if (action instanceof Cancel a) {
            head("abandon", instance, a.id());
            json.writeNumberField("hop", a.attempt());
        } else if (action instanceof Reserve a) {
            head("ahead", instance, a.id(), a.server());
        } else if (action instanceof Move a) {
            head("relocate", instance, a.id());
        } else {
            aside(instance, action);
        }
    }

    /** Actions that concern no request. */
    private void aside(long instance, Action action) throws IOException {
        if (action instanceof Probe a) {
            head("poll", instance);
            json.writeStringField("worker", a.server());
        } else if (action instanceof CloseIdle a) {
            head("close", instance);
            json.writeStringField("worker", a.server());
        } else if (action instanceof Tell a) {
            head("write-peer", instance);
            json.writeNumberField("dst", a.to());
            json.writeStringField("body", a.body());
        } else if (action instanceof Follow a) {
            head("follow", instance);
            json.writeBooleanField("want", a.on());
        } else if (action instanceof FetchList) {
            head("snapshot", instance);
        } else if (action instanceof Log a) {
            head("trace", instance);
            json.writeStringField("note-text", a.text());
        }
    }

    private void head(String op, long instance) throws IOException {
        json.writeStringField("op", op);
        json.writeNumberField("router-id", instance);
    }

    private void head(String op, long instance, long id) throws IOException {
        head(op, instance);
        json.writeNumberField("msg-id", id);
    }

    private void head(String op, long instance, long id, String server) throws IOException {
        head(op, instance, id);
        json.writeStringField("worker", server);
    }
}
