package sorrelhoist.core.record;

import java.util.List;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.RoutingActions;
import sorrelhoist.routing.RoutingEvents;
import sorrelhoist.routing.RoutingSettings;

/**
 * One entry of a record; entries are in chronological order. Times are microseconds on the router's
 * clock. Components and enum constants are stored by their order: new ones are added at the end.
 */
public sealed interface RecordEntry {
    /**
     * Build and configuration of the router; every chunk begins with it.
     *
     * @param build version of the program
     * @param name the router's name
     * @param incarnation number of the router's process; a later start has a higher one
     * @param settings settings of the routing policy
     * @param seed seed of all randomness
     */
    record Header(String build, String name, long incarnation, RoutingSettings settings, long seed)
            implements RecordEntry {}

    /**
     * An event and the actions that the routing policy decided on it.
     *
     * @param at time of the decision
     * @param event the event
     * @param actions the decided actions, in order
     */
    record Decision(long at, RoutingEvents.Event event, List<RoutingActions.Action> actions)
            implements RecordEntry {}

    /**
     * Knowledge of another router, or of an earlier start, was adopted.
     *
     * @param at time of the adoption
     * @param age age of the knowledge at that time, in microseconds
     * @param knowledge the adopted knowledge
     */
    record KnowledgeAdopted(long at, long age, Knowledge knowledge) implements RecordEntry {}

    /**
     * A client's request, or the remainder of one whose stream broke, was submitted to the routing
     * policy. The text of the request is not recorded.
     *
     * @param at time of the submission
     * @param id number by which the routing policy identifies the request
     * @param client number by which the router identifies the client
     * @param name name by which engines identify the request
     * @param clientId id that the client gave the request; may be empty
     * @param promptHash 64-bit hash (XXH3) of the prompt's text, to find equal prompts
     * @param timeoutMicros the client's timeout for the whole answer; 0 if it gave none
     * @param fromToken number of tokens that the client already has
     */
    record RequestSubmitted(
            long at,
            long id,
            long client,
            String name,
            String clientId,
            long promptHash,
            long timeoutMicros,
            int fromToken)
            implements RecordEntry {}

    /**
     * A client got its final answer, or disconnected.
     *
     * @param at time of the completion
     * @param client number by which the router identifies the client
     * @param how how the request ended for the client
     * @param tokens number of tokens that the client got
     * @param leftMicros time until the client's timeout, negative after it; Long.MAX_VALUE if the
     *     client gave none
     * @param why reason of a rejection or failure; {@link Reason#UNKNOWN} if none was decided
     */
    record RequestCompleted(
            long at, long client, Completion how, int tokens, long leftMicros, Reason why)
            implements RecordEntry {}

    /** How a request ended for its client. */
    enum Completion {
        /** The client got the whole answer. */
        SERVED,
        /** The request was rejected, and a retry is safe. */
        REFUSED,
        /** The request failed, and a retry is not known to be safe. */
        FAILED,
        /** The client stopped reading the answer, and the router ended the request. */
        STALLED,
        /** The client disconnected. */
        LEFT
    }

    /**
     * Entries were dropped because the recorder's sink had no room; beyond this entry, a replay may
     * differ from the recording.
     *
     * @param entries number of dropped entries
     */
    record EntriesDropped(long entries) implements RecordEntry {}

    /**
     * A note for later searches.
     *
     * @param at time of the note
     * @param text text of the note
     */
    record Marker(long at, String text) implements RecordEntry {}
}
