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
import sorrelhoist.adapter.SimulatorProtocol.Field;
import sorrelhoist.adapter.SimulatorProtocol.Received;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingEvents.Event;
import sorrelhoist.routing.RoutingPolicy;
import sorrelhoist.routing.RoutingSettings;

/**
 * Hosts any number of {@link RoutingPolicy} instances behind the simulator's line protocol: one
 * JSON object per line, one reply line per batch. Not thread-safe.
 */
public final class SimulatorAdapter {
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILURE = 1;
    private static final int MAX_ENDPOINT_LISTS = 16;

    /** Observes the hosted policies' decisions without affecting them. */
    public interface DecisionListener {
        /** A listener that ignores all calls. */
        DecisionListener NONE = new DecisionListener() {};

        /**
         * Called when a router was started.
         *
         * @param routerId the router
         * @param settings its settings
         * @param seed the seed of its random numbers
         */
        default void onRouterStarted(long routerId, RoutingSettings settings, long seed) {}

        /**
         * Called when a router has handled an event.
         *
         * @param routerId the router
         * @param nowMicros the time of the event, in microseconds
         * @param event the event
         * @param actions the actions that the router decided on in response
         */
        default void onDecision(long routerId, long nowMicros, Event event, List<Action> actions) {}
    }

    private record HostedRouter(RoutingPolicy policy, EventDecoder decoder) {}

    private final DecisionListener listener;
    private final Map<Long, HostedRouter> routers = new HashMap<>();
    private final Map<Long, JsonObject> endpointLists = new HashMap<>();

    /** Creates an adapter without routers; the simulator starts them. */
    public SimulatorAdapter() {
        this(DecisionListener.NONE);
    }

    /**
     * Creates an adapter without routers; the simulator starts them.
     *
     * @param listener receives the decisions of all routers
     */
    public SimulatorAdapter(DecisionListener listener) {
        this.listener = listener;
    }

    /**
     * Serves batches until the input ends or a batch is invalid.
     *
     * @param in the batches, one per line
     * @param out receives one reply line per batch, flushed after each
     * @param err receives a one-line message if a batch was invalid, or reading or writing failed
     * @return the exit status: 0 at the end of the input, 1 after an error
     */
    public int run(InputStream in, OutputStream out, PrintStream err) {
        long lineNumber = 0;
        try {
            BufferedReader lines =
                    new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                lineNumber++;
                out.write(handleLine(line, lineNumber).getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
            return EXIT_OK;
        } catch (InvalidMessageException e) {
            err.println(e.getMessage());
        } catch (IOException e) {
            err.println("line " + lineNumber + ": input or output failed: " + e.getMessage());
        }
        return EXIT_FAILURE;
    }

    private String handleLine(String line, long lineNumber) throws InvalidMessageException {
        JsonObject batch;
        long round;
        try {
            batch = JsonObject.parse(line);
            round = batch.getLong(Field.ROUND, 0);
        } catch (InvalidMessageException e) {
            throw e.at("line " + lineNumber);
        }
        try {
            return handleBatch(batch, round);
        } catch (InvalidMessageException e) {
            throw e.at("round " + round);
        }
    }

    private String handleBatch(JsonObject batch, long round) throws InvalidMessageException {
        long nowMicros = batch.getLong(Field.TIME_MICROS, 0);
        List<JsonObject> messages = batch.getObjects(Field.MESSAGES);
        ActionEncoder reply = new ActionEncoder(round);
        for (int i = 0; i < messages.size(); i++) {
            try {
                handleMessage(nowMicros, messages.get(i), reply);
            } catch (InvalidMessageException e) {
                throw e.at("message " + i);
            } catch (IllegalArgumentException e) {
                // The policy rejected its input, for example a time before that of the last event.
                throw new InvalidMessageException(e.getMessage()).at("message " + i);
            }
        }
        return reply.finish();
    }

    private void handleMessage(long nowMicros, JsonObject message, ActionEncoder reply)
            throws InvalidMessageException {
        String operation = message.getString(Field.OPERATION);
        switch (operation) {
            case Received.DEFINE_ENDPOINT_LIST -> defineEndpointList(message);
            case Received.START_ROUTER -> startRouter(message);
            case Received.STOP_ROUTER -> stopRouter(message);
            default -> {
                HostedRouter router = router(message);
                Event event = router.decoder().decode(operation, message);
                List<Action> actions = router.policy().onEvent(nowMicros, event);
                long routerId = routerId(message);
                listener.onDecision(routerId, nowMicros, event, actions);
                reply.add(routerId, actions);
            }
        }
    }

    private void defineEndpointList(JsonObject message) throws InvalidMessageException {
        message.getList(Field.LIST_ROWS); // checks the type only; the rows are decoded on use
        endpointLists.put((long) message.getIndex(Field.LIST_NUMBER, MAX_ENDPOINT_LISTS), message);
    }

    private void startRouter(JsonObject message) throws InvalidMessageException {
        long routerId = routerId(message);
        RoutingSettings settings;
        try {
            settings = SettingsDecoder.decode(message.getRequiredObject(Field.SETTINGS));
        } catch (InvalidMessageException e) {
            throw e.at(Field.SETTINGS);
        }
        long seed = message.getLong(Field.SEED, Long.MIN_VALUE);
        listener.onRouterStarted(routerId, settings, seed);
        routers.put(
                routerId,
                new HostedRouter(
                        new RoutingPolicy(settings, seed),
                        new EventDecoder(settings, endpointLists)));
    }

    private void stopRouter(JsonObject message) throws InvalidMessageException {
        router(message);
        routers.remove(routerId(message));
    }

    private HostedRouter router(JsonObject message) throws InvalidMessageException {
        long routerId = routerId(message);
        HostedRouter router = routers.get(routerId);
        if (router == null) {
            throw new InvalidMessageException(
                    "field \"router-id\": instance " + routerId + " was not started");
        }
        return router;
    }

    private static long routerId(JsonObject message) throws InvalidMessageException {
        return message.getLong(Field.ROUTER_ID, 0);
    }
}
