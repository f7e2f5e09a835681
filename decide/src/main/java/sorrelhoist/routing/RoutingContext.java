package sorrelhoist.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingEvents.Seated;

/**
 * What every part of one router's policy shares: the time of the event under way, the settings, the
 * single source of randomness, and the actions given so far for this event.
 *
 * <p>It holds no decision state. Only {@link RoutingPolicy} advances the time and changes the
 * settings; the parts read them and emit actions in order.
 */
final class RoutingContext {
    private static final long NOT_STARTED = -1;

    private final SplittableRandom random;
    private RoutingSettings settings;
    private long now = Long.MIN_VALUE;
    private long startedAt = NOT_STARTED;
    private List<Action> actions = new ArrayList<>();

    RoutingContext(RoutingSettings settings, long seed) {
        this.settings = InputValidator.validSettings(settings);
        this.random = new SplittableRandom(seed);
    }

    /** Moves the clock to the time of the next event and starts an empty list of actions. */
    void beginEvent(long time) {
        now = InputValidator.monotonicTime(now, time);
        actions = new ArrayList<>();
    }

    /** {@return true once, at the first event; that event's time is the start} */
    boolean markStarted() {
        if (startedAt > NOT_STARTED) {
            return false;
        }
        startedAt = now;
        return true;
    }

    /** {@return the time of the event under way, in microseconds} */
    long now() {
        return now;
    }

    /** {@return for how long this router has been running, in microseconds} */
    long uptime() {
        return now - startedAt;
    }

    RoutingSettings settings() {
        return settings;
    }

    void reseat(Seated event) {
        settings = InputValidator.reseated(settings, event);
    }

    /** {@return the only source of randomness; the order of draws is part of the decisions} */
    SplittableRandom random() {
        return random;
    }

    void emit(Action action) {
        actions.add(action);
    }

    /** {@return what the event under way has led to, in order} */
    List<Action> actions() {
        return actions;
    }
}
