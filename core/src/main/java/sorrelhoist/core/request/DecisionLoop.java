package sorrelhoist.core.request;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import sorrelhoist.core.record.DecisionListener;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingEvents.Event;
import sorrelhoist.routing.RoutingPolicy;

/**
 * Owns the routing policy: queues events for it, and has its actions executed in the order in which
 * it gives them.
 */
final class DecisionLoop {
    private final RoutingPolicy policy;
    private final DecisionListener listener;
    private final RouterClock clock;
    private final ArrayDeque<Event> events = new ArrayDeque<>();

    DecisionLoop(RoutingPolicy policy, DecisionListener listener, RouterClock clock) {
        this.policy = policy;
        this.listener = listener;
        this.clock = clock;
    }

    /** Queues an event; the policy sees it when the loop is run. */
    void submitEvent(Event event) {
        events.add(event);
    }

    /**
     * Gives the policy all queued events and executes its actions, until nothing is left; executing
     * may queue more. A failure concerns one request, and the actions for others are not to be lost
     * with it: the rest is carried out first, then the first failure is thrown.
     */
    void run(Consumer<Action> executor) {
        Throwable failure = runAll(executor);
        if (failure instanceof Error error) {
            throw error;
        }
        if (failure instanceof RuntimeException exception) {
            throw exception;
        }
    }

    private Throwable runAll(Consumer<Action> executor) {
        Throwable failure = null;
        for (Event event = events.poll(); event != null; event = events.poll()) {
            try {
                List<Action> actions = policy.onEvent(clock.now(), event);
                listener.onDecision(clock.now(), event, actions);
                for (Action action : actions) {
                    failure = execute(executor, action, failure);
                }
            } catch (RuntimeException | Error e) {
                failure = failure == null ? e : failure;
            }
        }
        return failure;
    }

    private static Throwable execute(
            Consumer<Action> executor, Action action, Throwable earlierFailure) {
        try {
            executor.accept(action);
            return earlierFailure;
        } catch (RuntimeException | Error e) {
            return earlierFailure == null ? e : earlierFailure;
        }
    }

    /** {@return what the policy has learned by itself, with at most so many prefixes} */
    Knowledge exportKnowledge(int maxPrefixes) {
        return policy.exportKnowledge(clock.now(), maxPrefixes);
    }

    /** Gives the policy what another one has learned, {@code ageMicros} ago. */
    void importKnowledge(Knowledge knowledge, long ageMicros) {
        policy.importKnowledge(clock.now(), knowledge, ageMicros);
        listener.onKnowledgeAdopted(clock.now(), ageMicros, knowledge);
    }
}
