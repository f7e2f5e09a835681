package sorrelhoist.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingEvents.Seated;

/**
 * State that the components of one router's policy share: the time of the current event, the
 * settings, the only source of randomness, and the actions emitted so far for the current event.
 *
 * <p>It holds no decision state. Only {@link RoutingPolicy} advances the time and changes the
 * settings; the other components read them and emit actions in order.
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

    /** Sets the clock to the time of the next event and starts an empty list of actions. */
    void beginEvent(long time) {
        now = InputValidator.monotonicTime(now, time);
        actions = new ArrayList<>();
    }

    /** {@return true at the first event only, whose time becomes the start time} */
    boolean markStarted() {
        if (startedAt > NOT_STARTED) {
            return false;
        }
        startedAt = now;
        return true;
    }

    /** {@return the time of the current event, in microseconds} */
    long now() {
        return now;
    }

    /** {@return the time since the first event, in microseconds} */
    long uptime() {
        return now - startedAt;
    }

    RoutingSettings settings() {
        return settings;
    }

    void updateRouters(Seated event) {
        settings = InputValidator.withRouters(settings, event);
    }

    /** {@return the only source of randomness; decisions depend on the order of draws} */
    SplittableRandom random() {
        return random;
    }

    void emit(Action action) {
        actions.add(action);
    }

    /** {@return the actions emitted for the current event, in order} */
    List<Action> actions() {
        return actions;
    }
}
