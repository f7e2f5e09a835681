package sorrelhoist.core.record;

import java.util.List;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingEvents.Event;

/**
 * Is notified of all that a router's decisions are given and answer, on the router's thread. A
 * listener must not block or change anything.
 */
public interface DecisionListener {
    /** Ignores everything. */
    DecisionListener NONE = new DecisionListener() {};

    /**
     * An event was decided.
     *
     * @param at when, in microseconds
     * @param event what was decided about
     * @param actions what was decided, in order
     */
    default void onDecision(long at, Event event, List<Action> actions) {}

    /**
     * Knowledge of another router, or of an earlier start, was adopted.
     *
     * @param at when, in microseconds
     * @param age how old it was then, in microseconds
     * @param knowledge what was adopted
     */
    default void onKnowledgeAdopted(long at, long age, Knowledge knowledge) {}

    /**
     * A request was submitted to the routing policy.
     *
     * @param request who asked, with a prompt hash of 0
     * @param prompt its text, which is given for its hash alone and must not be kept
     */
    default void onRequestSubmitted(RecordEntry.RequestSubmitted request, String prompt) {}

    /** A client got its final answer, or disconnected. */
    default void onRequestCompleted(RecordEntry.RequestCompleted completion) {}
}
