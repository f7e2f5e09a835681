package sorrelhoist.core.life;

import java.util.List;
import sorrelhoist.Routing.Settings;
import sorrelhoist.core.reservation.ReleasePolicy;
import sorrelhoist.core.reservation.ReleaseReach;

/**
 * What a router is told at its start beyond {@link Settings}.
 *
 * @param name this edge's name; part of every request's name
 * @param incarnation grows with every start, so that names are never used again
 * @param decide the decision module's settings
 * @param deadlines for each class: until the first token, where the client did not say, in
 *     microseconds
 * @param deadlinesPer1000 for each class: added for each 1,000 prompt tokens, in microseconds
 * @param marginMicros by how much answers come before a client's time is up: the way back to it
 * @param resumes whether a broken stream goes on elsewhere, where its class is safe to repeat
 * @param stallMicros how long a client may take nothing of a running answer
 * @param maxOpen requests that may be open at once; more are refused at once
 * @param seed of all randomness
 * @param streams what is settled of answers that have begun
 * @param releases which engines can release what a request has reserved
 */
public record RouterSettings(
        String name,
        long incarnation,
        Settings decide,
        List<Long> deadlines,
        List<Long> deadlinesPer1000,
        long marginMicros,
        boolean resumes,
        long stallMicros,
        int maxOpen,
        long seed,
        Streams streams,
        ReleaseReach releases) {
    /** Settings with {@link Streams#OF_TOKENS}, and reservations that their holders release. */
    public RouterSettings(
            String name,
            long incarnation,
            Settings decide,
            List<Long> deadlines,
            List<Long> deadlinesPer1000,
            long marginMicros,
            boolean resumes,
            long stallMicros,
            int maxOpen,
            long seed) {
        this(
                name,
                incarnation,
                decide,
                deadlines,
                deadlinesPer1000,
                marginMicros,
                resumes,
                stallMicros,
                maxOpen,
                seed,
                Streams.OF_TOKENS,
                ReleaseReach.HOLDER);
    }

    /** {@return when releases are sent} */
    ReleasePolicy releasePolicy() {
        return new ReleasePolicy(releases, decide.rules().releaseMicros());
    }
}
