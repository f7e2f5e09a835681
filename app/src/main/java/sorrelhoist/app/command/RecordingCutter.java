package sorrelhoist.app.command;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import sorrelhoist.core.record.RecordEntry;
import sorrelhoist.core.record.Recording;
import sorrelhoist.core.record.RecordingAnonymizer;
import sorrelhoist.core.record.RecordingMinimizer;
import sorrelhoist.core.record.Replay;
import sorrelhoist.routing.Reason;
import sorrelhoist.routing.RoutingActions;
import sorrelhoist.routing.RoutingEvents;

/**
 * Reduces a recording to few events that still contain a request that is rejected or failed for a
 * given kind of reason.
 */
final class RecordingCutter {
    private static final int MAX_REPLAYS = 5000;

    private final Reason.Kind kind;
    private final int minPrefills;
    private final boolean anonymize;
    private final Path out;

    /**
     * Creates a cutter.
     *
     * @param kind the kind of reason for which a request has to end in the result
     * @param minPrefills the least number of prefills that have to end in the result
     * @param anonymize whether names are replaced by neutral ones
     * @param out the file to which the result is written
     */
    RecordingCutter(Reason.Kind kind, int minPrefills, boolean anonymize, Path out) {
        this.kind = kind;
        this.minPrefills = minPrefills;
        this.anonymize = anonymize;
        this.out = out;
    }

    /**
     * Reduces a recording and writes the result.
     *
     * @param recorded the recording
     * @param build the jar of another build, in which a request has to end for the reason while
     *     this build sends it to an engine; null if it has to end so in this build
     */
    void cut(Recording recorded, Path build) throws RecordCommandException, IOException {
        Recording recording = anonymize ? RecordingAnonymizer.anonymize(recorded) : recorded;
        if (build == null) {
            minimize(recording, this::showsReason, UnaryOperator.identity());
            return;
        }
        try (ExternalBuild other = new ExternalBuild(build)) {
            minimize(
                    recording,
                    candidate -> showsDifference(candidate, other),
                    candidate -> replayUnchecked(other, candidate));
        }
    }

    private boolean showsReason(Recording candidate) {
        return prefillCount(candidate) >= minPrefills && !endedRequests(candidate).isEmpty();
    }

    /** {@return whether the other build ends a request for the reason and this build sends it} */
    private boolean showsDifference(Recording candidate, ExternalBuild other) {
        if (prefillCount(candidate) < minPrefills) {
            return false;
        }
        Set<Long> ended = endedRequests(replayUnchecked(other, candidate));
        return sentRequests(candidate).stream().anyMatch(ended::contains);
    }

    private void minimize(
            Recording recording, Predicate<Recording> shows, UnaryOperator<Recording> finish)
            throws RecordCommandException, IOException {
        if (!shows.test(Replay.withReplayedActions(recording))) {
            throw new RecordCommandException(
                    "no request of this record ends as "
                            + kind
                            + " there: see 'record show' for the reasons in it");
        }
        RecordingMinimizer minimizer =
                new RecordingMinimizer(recording.header(), shows, MAX_REPLAYS);
        Recording minimal = minimizer.minimize(recording);
        Files.write(out, finish.apply(minimal).toFileBytes());
        System.out.printf(
                "%d entries of %d, after %d replays: %s%n",
                minimal.entries().size(), recording.entries().size(), minimizer.replayCount(), out);
    }

    private static Recording replayUnchecked(ExternalBuild build, Recording recording) {
        try {
            return build.replay(recording);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** {@return the ids of the requests that are rejected or failed for the kind of reason} */
    private Set<Long> endedRequests(Recording recording) {
        return requestIds(recording, this::endedRequest);
    }

    private Long endedRequest(RoutingActions.Action action) {
        if (action instanceof RoutingActions.Refuse rejection && rejection.why().kind() == kind) {
            return rejection.id();
        }
        return action instanceof RoutingActions.Fail failure && failure.why().kind() == kind
                ? failure.id()
                : null;
    }

    private static Set<Long> sentRequests(Recording recording) {
        return requestIds(
                recording, action -> action instanceof RoutingActions.Send send ? send.id() : null);
    }

    private static Set<Long> requestIds(
            Recording recording, Function<RoutingActions.Action, Long> requestId) {
        Set<Long> ids = new HashSet<>();
        for (Recording.NumberedEntry numbered : recording.entries()) {
            if (numbered.entry() instanceof RecordEntry.Decision decision) {
                decision.actions().stream()
                        .map(requestId)
                        .filter(Objects::nonNull)
                        .forEach(ids::add);
            }
        }
        return ids;
    }

    private static long prefillCount(Recording recording) {
        return recording.entries().stream().filter(RecordingCutter::endsPrefill).count();
    }

    private static boolean endsPrefill(Recording.NumberedEntry numbered) {
        return numbered.entry() instanceof RecordEntry.Decision decision
                && decision.event() instanceof RoutingEvents.AttemptEnded ended
                && ended.outcome() == RoutingEvents.Outcome.READ;
    }
}
