package sorrelhoist.core.record;

import java.util.List;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.RoutingActions;
import sorrelhoist.routing.RoutingEvents;
import sorrelhoist.routing.RoutingSettings;

/**
 * One entry of a record, in the order in which things happened. Times are microseconds on the
 * router's clock. Components and constants are stored by their order: new ones come last.
 */
public sealed interface RecordEntry {
    /**
     * How the router was built and configured; every chunk begins with it.
     *
     * @param build the program's version
     * @param name the router's name
     * @param incarnation of its process; a later start has a higher one
     * @param settings of the decisions
     * @param seed of all randomness
     */
    record Header(String build, String name, long incarnation, RoutingSettings settings, long seed)
            implements RecordEntry {}

    /**
     * An event and what was decided about it.
     *
     * @param at when
     * @param event what was decided about
     * @param actions what was decided, in order
     */
    record Decision(long at, RoutingEvents.Event event, List<RoutingActions.Action> actions)
            implements RecordEntry {}

    /**
     * Knowledge of another router, or of an earlier start, was adopted.
     *
     * @param at when
     * @param age how old it was then, in microseconds
     * @param knowledge what was adopted
     */
    record KnowledgeAdopted(long at, long age, Knowledge knowledge) implements RecordEntry {}

    /**
     * A client's request, or the rest of one whose stream broke, was submitted to the routing
     * policy. No text of it is recorded.
     *
     * @param at when
     * @param id its number at the routing policy
     * @param client its client's number at the router
     * @param name its name at engines
     * @param clientId the name that its client gave it; may be empty
     * @param promptHash 64 bits (XXH3) of the prompt's text, by which equal prompts are found
     * @param timeoutMicros until the client gives up on the whole answer; 0 where it did not say
     * @param fromToken tokens that the client has already
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
     * @param at when
     * @param client its number at the router
     * @param how what it got
     * @param tokens that it got
     * @param leftMicros of its timeout; Long.MAX_VALUE where it gave none
     * @param why the reason that was decided, or {@link Reason#UNKNOWN}
     */
    record RequestCompleted(
            long at, long client, Completion how, int tokens, long leftMicros, Reason why)
            implements RecordEntry {}

    /** How a request ended for its client. */
    enum Completion {
        /** It got its whole answer. */
        SERVED,
        /** It was rejected, and a retry is harmless. */
        REFUSED,
        /** It failed, and nothing is promised about a retry. */
        FAILED,
        /** Its client took nothing of the answer, and was given up. */
        STALLED,
        /** Its client disconnected. */
        LEFT
    }

    /**
     * Entries were dropped under pressure; a replay cannot go on past this.
     *
     * @param entries how many
     */
    record EntriesDropped(long entries) implements RecordEntry {}

    /**
     * A note that somebody may search for.
     *
     * @param at when
     * @param text the note
     */
    record Marker(long at, String text) implements RecordEntry {}
}
