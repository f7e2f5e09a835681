package sorrelhoist.core.record;

import java.util.List;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingEvents.Event;

/**
 * Is notified of a router's decisions and of everything that they depend on, on the router's
 * thread. Times are on the router's clock. A listener must neither block nor change anything.
 */
public interface DecisionListener {
    /** Ignores all notifications. */
    DecisionListener NONE = new DecisionListener() {};

    /**
     * Called after the routing policy decided on an event.
     *
     * @param at time of the decision, in microseconds
     * @param event the event
     * @param actions the decided actions, in order
     */
    default void onDecision(long at, Event event, List<Action> actions) {}

    /**
     * Called after knowledge of another router, or of an earlier start, was adopted.
     *
     * @param at time of the adoption, in microseconds
     * @param age age of the knowledge at that time, in microseconds
     * @param knowledge the adopted knowledge
     */
    default void onKnowledgeAdopted(long at, long age, Knowledge knowledge) {}

    /**
     * Called when a request is submitted to the routing policy.
     *
     * @param request the request, with a prompt hash of 0
     * @param prompt the prompt's text, from which only the hash may be computed; it must not be
     *     stored
     */
    default void onRequestSubmitted(RecordEntry.RequestSubmitted request, String prompt) {}

    /** Called when a client got its final answer or disconnected. */
    default void onRequestCompleted(RecordEntry.RequestCompleted completion) {}
}
