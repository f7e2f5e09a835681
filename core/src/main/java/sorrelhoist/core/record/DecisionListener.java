package sorrelhoist.core.record;

import java.util.List;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.Routing.Action;
import sorrelhoist.routing.Routing.Event;

/**
 * Hears all that a router's decisions were told and said. It changes nothing and takes next to no
 * time.
 */
public interface DecisionListener {
    /** Hears nothing. */
    DecisionListener NONE = new DecisionListener() {};

    /** Decide was told something, and said something. */
    default void onDecision(long at, Event event, List<Action> actions) {}

    /** Decide was taught. */
    default void onKnowledgeAdopted(long at, long age, Knowledge knowledge) {}

    /** A request got its number at Decide; the prompt is for its hash alone. */
    default void onRequestSubmitted(RecordEntry.RequestSubmitted asked, String prompt) {}

    /** A client got its final answer, or left. */
    default void onRequestCompleted(RecordEntry.RequestCompleted answered) {}
}
