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
 * Owns the routing policy: queues events for the policy, and has its actions executed in the order
 * in which the policy returns them.
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

    /** Queues an event. The policy receives it when {@link #run} is called. */
    void submitEvent(Event event) {
        events.add(event);
    }

    /**
     * Passes all queued events to the policy and executes its actions, until the queue is empty;
     * executing an action may queue further events. A failure concerns a single request and must
     * not discard the actions for other requests, so all remaining actions are executed before the
     * first failure is thrown.
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

    /**
     * {@return the knowledge that the policy has learned by itself, with at most {@code
     * maxPrefixes} prefixes}
     */
    Knowledge exportKnowledge(int maxPrefixes) {
        return policy.exportKnowledge(clock.now(), maxPrefixes);
    }

    /**
     * Passes knowledge that another router's policy learned {@code ageMicros} ago to the policy.
     */
    void importKnowledge(Knowledge knowledge, long ageMicros) {
        policy.importKnowledge(clock.now(), knowledge, ageMicros);
        listener.onKnowledgeAdopted(clock.now(), ageMicros, knowledge);
    }
}
