package sorrelhoist.core.request;

import java.util.Comparator;
import java.util.List;
import sorrelhoist.routing.RoutingEvents.Outcome;

/**
 * Ends streams early so that they are resumed at another engine, through this router or another
 * one.
 */
final class StreamMigration {
    private final StreamSettings settings;
    private final RequestTable requests;
    private final AttemptFailures failures;

    StreamMigration(StreamSettings settings, RequestTable requests, AttemptFailures failures) {
        this.settings = settings;
        this.requests = requests;
        this.failures = failures;
    }

    /**
     * {@return the number of running streams; 0 in deployments where clients do not reconnect for
     * the rest of a stream that ended early}
     */
    int migratableStreams() {
        if (!settings.clientsResume()) {
            return 0;
        }
        return (int) requests.knownToPolicy().stream().filter(RequestState::isStreaming).count();
    }

    /**
     * Migrates the streams with the fewest tokens, as older ones may still complete by themselves.
     */
    void migrateYoungest(int count) {
        List<RequestState> youngest =
                requests.knownToPolicy().stream()
                        .filter(RequestState::isStreaming)
                        .sorted(Comparator.comparingInt(request -> request.tokens))
                        .limit(count)
                        .toList();
        youngest.forEach(this::migrate);
    }

    /** Ends a stream if the router or its client resumes it. Otherwise the stream continues. */
    void migrate(RequestState request) {
        boolean resumable = settings.resumeBrokenStreams() || settings.clientsResume();
        if (request.isStreaming() && resumable) {
            failures.cancelAttempt(request.runningAttempt, Outcome.CANCELLED);
        }
    }
}
