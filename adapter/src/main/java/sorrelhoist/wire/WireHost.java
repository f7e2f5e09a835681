package sorrelhoist.wire;

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
import sorrelhoist.Decide;
import sorrelhoist.Routing.Action;
import sorrelhoist.Routing.Event;
import sorrelhoist.Routing.Settings;

/**
 * Hosts many instances of {@link Decide} on the wire, JSON line by line: translates, decides
 * nothing.
 */
public final class WireHost {
    private static final int OK = 0;
    private static final int FAULT = 1;
    private static final int LISTS = 16;

    private record Instance(Decide decide, Settings settings) {}

    private final Map<Long, Instance> instances = new HashMap<>();
    private final Map<Long, Fields> lists = new HashMap<>();

    /** Hears what the hosted instances are told and say; changes nothing. */
    public interface Hearing {
        /** Hears nothing. */
        Hearing NONE = new Hearing() {};

        /** An instance was started. */
        default void started(long router, Settings settings, long seed) {}

        /** An instance was told something, and said something. */
        default void told(long router, long now, Event event, List<Action> actions) {}
    }

    private final Hearing hearing;

    /** Makes a host without instances; {@code hello} starts them. */
    public WireHost() {
        this(Hearing.NONE);
    }

    /**
     * Makes a host without instances.
     *
     * @param hearing hears all that is told and said
     */
    public WireHost(Hearing hearing) {
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
        } catch (WireException e) {
            err.println(e.getMessage());
        } catch (IOException e) {
            err.println("line " + lineNumber + ": the pipe failed: " + e.getMessage());
        }
        return FAULT;
    }

    private String reply(String line, long lineNumber) throws WireException {
        Fields batch;
        long round;
        try {
            batch = Fields.parse(line);
            round = batch.whole("round", 0);
        } catch (WireException e) {
            throw e.at("line " + lineNumber);
        }
        try {
            return reply(batch, round);
        } catch (WireException e) {
            throw e.at("round " + round);
        }
    }

    private String reply(Fields batch, long round) throws WireException {
        long now = batch.whole("time-us", 0);
        List<Fields> messages = batch.rows("msgs");
        Outward reply = new Outward(round);
        for (int i = 0; i < messages.size(); i++) {
            try {
                take(now, messages.get(i), reply);
            } catch (WireException e) {
                throw e.at("message " + i);
            } catch (IllegalArgumentException e) {
                throw new WireException(e.getMessage()).at("message " + i);
            }
        }
        return reply.line();
    }

    private void take(long now, Fields message, Outward reply) throws WireException {
        String op = message.text("op");
        switch (op) {
            case "list" -> {
                message.list("rows-in");
                lists.put((long) message.index("buffer", LISTS), message);
            }
            case "hello" -> start(message);
            case "teardown" -> {
                instance(message);
                instances.remove(message.whole("router-id", 0));
            }
            default -> {
                Instance instance = instance(message);
                Event event = Inward.event(op, message, instance.settings(), lists);
                long id = message.whole("router-id", 0);
                List<Action> actions = instance.decide().on(now, event);
                hearing.told(id, now, event, actions);
                reply.add(id, actions);
            }
        }
    }

    private void start(Fields message) throws WireException {
        long id = message.whole("router-id", 0);
        Settings settings;
        try {
            settings = Inward.settings(message.innerOrFail("boot-info"));
        } catch (WireException e) {
            throw e.at("boot-info");
        }
        long seed = message.whole("nonce64", Long.MIN_VALUE);
        hearing.started(id, settings, seed);
        instances.put(id, new Instance(new Decide(settings, seed), settings));
    }

    private Instance instance(Fields message) throws WireException {
        long id = message.whole("router-id", 0);
        Instance instance = instances.get(id);
        if (instance == null) {
            throw new WireException("field \"router-id\": instance " + id + " was not started");
        }
        return instance;
    }
}
