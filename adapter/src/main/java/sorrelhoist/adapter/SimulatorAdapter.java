package sorrelhoist.adapter;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sorrelhoist.routing.Routing.Action;
import sorrelhoist.routing.Routing.Event;
import sorrelhoist.routing.Routing.RoutingSettings;
import sorrelhoist.routing.RoutingPolicy;

/**
 * Hosts many instances of {@link RoutingPolicy} on the wire, JSON line by line: translates, decides
 * nothing.
 */
public final class SimulatorAdapter {
    private static final int OK = 0;
    private static final int FAULT = 1;
    private static final int LISTS = 16;

    private record Instance(RoutingPolicy decide, RoutingSettings settings) {}

    private final Map<Long, Instance> instances = new HashMap<>();
    private final Map<Long, JsonObject> lists = new HashMap<>();

    /** Hears what the hosted instances are told and say; changes nothing. */
    public interface DecisionListener {
        /** Hears nothing. */
        DecisionListener NONE = new DecisionListener() {};

        /** An instance was started. */
        default void started(long router, RoutingSettings settings, long seed) {}

        /** An instance was told something, and said something. */
        default void told(long router, long now, Event event, List<Action> actions) {}
    }

    private final DecisionListener hearing;

    /** Makes a host without instances; {@code hello} starts them. */
    public SimulatorAdapter() {
        this(DecisionListener.NONE);
    }

    /**
     * Makes a host without instances.
     *
     * @param hearing hears all that is told and said
     */
    public SimulatorAdapter(DecisionListener hearing) {
        this.hearing = hearing;
    }

    /**
     * Serves batches until the input ends.
     *
     * @param in batches, one a line
     * @param out replies, one a line, each flushed
     * @param err takes one plain line where the input was at fault
     * @return 0 at the end of input, 1 after a fault
     */
    public int run(InputStream in, OutputStream out, PrintStream err) {
        long lineNumber = 0;
        try {
            BufferedReader lines =
                    new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                lineNumber++;
                out.write(reply(line, lineNumber).getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
            return OK;
        } catch (InvalidMessageException e) {
            err.println(e.getMessage());
        } catch (IOException e) {
            err.println("line " + lineNumber + ": the pipe failed: " + e.getMessage());
        }
        return FAULT;
    }

    private String reply(String line, long lineNumber) throws InvalidMessageException {
        JsonObject batch;
        long round;
        try {
            batch = JsonObject.parse(line);
            round = batch.getLong("round", 0);
        } catch (InvalidMessageException e) {
            throw e.at("line " + lineNumber);
        }
        try {
            return reply(batch, round);
        } catch (InvalidMessageException e) {
            throw e.at("round " + round);
        }
    }

    private String reply(JsonObject batch, long round) throws InvalidMessageException {
        long now = batch.getLong("time-us", 0);
        List<JsonObject> messages = batch.getObjects("msgs");
        ActionEncoder reply = new ActionEncoder(round);
        for (int i = 0; i < messages.size(); i++) {
            try {
                take(now, messages.get(i), reply);
            } catch (InvalidMessageException e) {
                throw e.at("message " + i);
            } catch (IllegalArgumentException e) {
                throw new InvalidMessageException(e.getMessage()).at("message " + i);
            }
        }
        return reply.line();
    }

    private void take(long now, JsonObject message, ActionEncoder reply)
            throws InvalidMessageException {
        String op = message.getString("op");
        switch (op) {
            case "list" -> {
                message.getList("rows-in");
                lists.put((long) message.getIndex("buffer", LISTS), message);
            }
            case "hello" -> start(message);
            case "teardown" -> {
                instance(message);
                instances.remove(message.getLong("router-id", 0));
            }
            default -> {
                Instance instance = instance(message);
                Event event = SettingsDecoder.event(op, message, instance.settings(), lists);
                long id = message.getLong("router-id", 0);
                List<Action> actions = instance.decide().onEvent(now, event);
                hearing.told(id, now, event, actions);
                reply.add(id, actions);
            }
        }
    }

    private void start(JsonObject message) throws InvalidMessageException {
        long id = message.getLong("router-id", 0);
        RoutingSettings settings;
        try {
            settings = SettingsDecoder.decode(message.getRequiredObject("boot-info"));
        } catch (InvalidMessageException e) {
            throw e.at("boot-info");
        }
        long seed = message.getLong("nonce64", Long.MIN_VALUE);
        hearing.started(id, settings, seed);
        instances.put(id, new Instance(new RoutingPolicy(settings, seed), settings));
    }

    private Instance instance(JsonObject message) throws InvalidMessageException {
        long id = message.getLong("router-id", 0);
        Instance instance = instances.get(id);
        if (instance == null) {
            throw new InvalidMessageException(
                    "field \"router-id\": instance " + id + " was not started");
        }
        return instance;
    }
}
