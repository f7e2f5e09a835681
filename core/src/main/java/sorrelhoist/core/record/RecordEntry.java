package sorrelhoist.core.record;

import java.util.List;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.Routing;

/**
 * One thing that a record holds, in the order in which it happened. Times are microseconds on the
 * router's clock.
 */
public sealed interface RecordEntry {
    /**
     * What the router was made of; every chunk begins with it.
     *
     * @param build the program's version
     * @param name the edge's name
     * @param incarnation of its start
     * @param settings of the decisions
     * @param seed of all randomness
     */
    record Header(
            String build,
            String name,
            long incarnation,
            Routing.RoutingSettings settings,
            long seed)
            implements RecordEntry {}

    /**
     * Decide was told something, and said something.
     *
     * @param at when
     * @param event what it was told
     * @param actions what it said, in order
     */
    record Decision(long at, Routing.Event event, List<Routing.Action> actions)
            implements RecordEntry {}

    /**
     * Decide was taught.
     *
     * @param at when
     * @param age how old that was
     * @param knowledge what
     */
    record KnowledgeAdopted(long at, long age, Knowledge knowledge) implements RecordEntry {}

    /**
     * A client's request, or what is left of one whose stream broke, got its number at Decide. No
     * text is kept of it.
     *
     * @param at when
     * @param id its number at Decide
     * @param client its client's number at the router
     * @param name its name at engines
     * @param clientId its client's own name for it; may be empty
     * @param promptHash 64 bits (XXH3) of the prompt's text, so that equal prompts show
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
     * A client got its final answer.
     *
     * @param at when
     * @param client its number at the router
     * @param how what it got
     * @param tokens that it got
     * @param leftMicros of its time; Long.MAX_VALUE where it did not say
     * @param why what Decide gave, or {@link Reason#UNKNOWN}
     */
    record RequestCompleted(
            long at, long client, Completion how, int tokens, long leftMicros, Reason why)
            implements RecordEntry {}

    /** How a request ended for its client. */
    enum Completion {
        SERVED,
        REFUSED,
        FAILED,
        STALLED,
        LEFT
    }

    /**
     * Entries were lost under pressure; a replay cannot go on past this.
     *
     * @param entries how many
     */
    record EntriesDropped(long entries) implements RecordEntry {}

    /**
     * Something worth finding again.
     *
     * @param at when
     * @param text what
     */
    record Marker(long at, String text) implements RecordEntry {}
}
