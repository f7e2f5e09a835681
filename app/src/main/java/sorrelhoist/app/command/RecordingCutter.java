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

/** Cuts a recording down to few events that still show a request that ends for a kind of reason. */
final class RecordingCutter {
    private static final int MAX_REPLAYS = 5000;

    private final Reason.Kind kind;
    private final int minPrefills;
    private final boolean anonymize;
    private final Path out;

    /**
     * Creates a cutter.
     *
     * @param kind the kind of reason that the result has to show
     * @param minPrefills how many prefills have to end in the result
     * @param anonymize whether names are replaced
     * @param out the file for the result
     */
    RecordingCutter(Reason.Kind kind, int minPrefills, boolean anonymize, Path out) {
        this.kind = kind;
        this.minPrefills = minPrefills;
        this.anonymize = anonymize;
        this.out = out;
    }

    /**
     * Cuts a recording, and writes the result.
     *
     * @param recorded the recording
     * @param build the jar of a build that shows the reason where this build does not; null if this
     *     build shows it
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

    /** {@return whether a request ends so in the other build, and is sent to an engine in this} */
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
                            + " there: see 'record show' for what does");
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

    /** {@return the requests that are rejected or failed for the kind of reason} */
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
