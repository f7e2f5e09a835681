package sorrelhoist.core.record;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sorrelhoist.routing.Routing;

/**
 * The numbers by which entries, events and actions are stored: their places in these lists. A
 * number, once given, is never given again: new types come last, and none is removed.
 */
final class EntryTags {
    static final List<Class<? extends RecordEntry>> ENTRIES =
            List.of(
                    RecordEntry.Header.class,
                    RecordEntry.Decision.class,
                    RecordEntry.KnowledgeAdopted.class,
                    RecordEntry.RequestSubmitted.class,
                    RecordEntry.RequestCompleted.class,
                    RecordEntry.EntriesDropped.class,
                    RecordEntry.Marker.class);

    static final List<Class<? extends Routing.Event>> EVENTS =
            List.of(
                    Routing.Members.class,
                    Routing.Arrived.class,
                    Routing.AttemptEnded.class,
                    Routing.StreamStarted.class,
                    Routing.PlaceAnswered.class,
                    Routing.ProbeAnswered.class,
                    Routing.TimerFired.class,
                    Routing.PeerMessage.class,
                    Routing.Seated.class,
                    Routing.ClientGone.class);

    static final List<Class<? extends Routing.Action>> ACTIONS =
            List.of(
                    Routing.Send.class,
                    Routing.Reserve.class,
                    Routing.Release.class,
                    Routing.Refuse.class,
                    Routing.Fail.class,
                    Routing.Cancel.class,
                    Routing.Move.class,
                    Routing.Probe.class,
                    Routing.Timer.class,
                    Routing.Tell.class,
                    Routing.Follow.class,
                    Routing.FetchList.class,
                    Routing.CloseIdle.class,
                    Routing.Log.class);

    /** The tag of {@link RecordEntry.Decision}, whose events and actions are tagged themselves. */
    static final int DECISION = 1;

    private static final Map<Class<?>, Integer> TAGS = new HashMap<>();

    static {
        for (List<? extends Class<?>> family : List.of(ENTRIES, EVENTS, ACTIONS)) {
            for (int tag = 0; tag < family.size(); tag++) {
                TAGS.put(family.get(tag), tag);
            }
        }
    }

    private EntryTags() {}

    /** {@return the tag of an entry's, an event's or an action's type} */
    static int of(Class<?> type) {
        return TAGS.get(type);
    }
}
