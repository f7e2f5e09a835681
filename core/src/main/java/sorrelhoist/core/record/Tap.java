package sorrelhoist.core.record;

import java.util.List;
import sorrelhoist.Knowledge;
import sorrelhoist.Routing.Action;
import sorrelhoist.Routing.Event;

/**
 * Hears all that a router's decisions were told and said. It changes nothing and takes next to no
 * time.
 */
public interface Tap {
    /** Hears nothing. */
    Tap NONE = new Tap() {};

    /** Decide was told something, and said something. */
    default void told(long at, Event event, List<Action> actions) {}

    /** Decide was taught. */
    default void taught(long at, long age, Knowledge knowledge) {}

    /** A request got its number at Decide; the prompt is for its hash alone. */
    default void asked(Entry.Asked asked, String prompt) {}

    /** A client got its final answer, or left. */
    default void answered(Entry.Answered answered) {}
}
