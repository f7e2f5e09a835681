package sorrelhoist.core.request;

import java.util.Comparator;
import java.util.List;
import sorrelhoist.routing.RoutingEvents.Outcome;

/** Ends streams here so that they go on elsewhere, through this router or through another. */
final class StreamMigration {
    private final StreamSettings settings;
    private final RequestTable requests;
    private final AttemptFailures failures;

    StreamMigration(StreamSettings settings, RequestTable requests, AttemptFailures failures) {
        this.settings = settings;
        this.requests = requests;
        this.failures = failures;
    }

    /** {@return running streams, where their clients come again for the rest of one that ended} */
    int migratableStreams() {
        if (!settings.clientsResume()) {
            return 0;
        }
        return (int) requests.knownToPolicy().stream().filter(RequestState::isStreaming).count();
    }

    /** Migrates the streams with the fewest tokens: old ones may still end by themselves. */
    void migrateYoungest(int count) {
        List<RequestState> youngest =
                requests.knownToPolicy().stream()
                        .filter(RequestState::isStreaming)
                        .sorted(Comparator.comparingInt(request -> request.tokens))
                        .limit(count)
                        .toList();
        youngest.forEach(this::migrate);
    }

    /** Ends a stream where somebody, the router or its client, resumes it. */
    void migrate(RequestState request) {
        boolean resumable = settings.resumeBrokenStreams() || settings.clientsResume();
        if (request.isStreaming() && resumable) {
            failures.cancelAttempt(request.runningAttempt, Outcome.CANCELLED);
        }
    }
}
