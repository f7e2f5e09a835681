package sorrelhoist.core.record;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sorrelhoist.routing.RoutingActions;
import sorrelhoist.routing.RoutingEvents;

/**
 * Assigns the tags under which types of entries, events and actions are stored: their indexes in
 * these lists. A tag is never reused: new types are appended at the end, and none is removed.
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

    static final List<Class<? extends RoutingEvents.Event>> EVENTS =
            List.of(
                    RoutingEvents.Members.class,
                    RoutingEvents.Arrived.class,
                    RoutingEvents.AttemptEnded.class,
                    RoutingEvents.StreamStarted.class,
                    RoutingEvents.PlaceAnswered.class,
                    RoutingEvents.ProbeAnswered.class,
                    RoutingEvents.TimerFired.class,
                    RoutingEvents.PeerMessage.class,
                    RoutingEvents.Seated.class,
                    RoutingEvents.ClientGone.class,
                    RoutingEvents.DeliveryUnconfirmed.class);

    static final List<Class<? extends RoutingActions.Action>> ACTIONS =
            List.of(
                    RoutingActions.Send.class,
                    RoutingActions.Reserve.class,
                    RoutingActions.Release.class,
                    RoutingActions.Refuse.class,
                    RoutingActions.Fail.class,
                    RoutingActions.Cancel.class,
                    RoutingActions.Move.class,
                    RoutingActions.Probe.class,
                    RoutingActions.Timer.class,
                    RoutingActions.Tell.class,
                    RoutingActions.Follow.class,
                    RoutingActions.FetchList.class,
                    RoutingActions.CloseIdle.class,
                    RoutingActions.Log.class);

    /** The tag of {@link RecordEntry.Decision}, whose events and actions have tags of their own. */
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

    /** {@return the tag of the type of an entry, event or action} */
    static int of(Class<?> type) {
        return TAGS.get(type);
    }
}
