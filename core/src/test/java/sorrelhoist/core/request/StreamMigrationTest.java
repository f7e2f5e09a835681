package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.record.DecisionListener;

class StreamMigrationTest {
    private final List<Command> commands = new ArrayList<>();
    private final RequestComponents core =
            new RequestComponents(
                    Fleet.settings(true, false, 7), commands::add, DecisionListener.NONE);

    private StreamMigration migration(boolean clientsResume) {
        StreamSettings settings =
                StreamSettings.ofOpaqueEvents(
                        clientsResume, new SilenceLimits(Fleet.SECOND, Fleet.SECOND), Fleet.STALL);
        return new StreamMigration(settings, core.requests, core.failures);
    }

    private AttemptId stream(int tokens) {
        core.clock.advanceTo(0);
        RequestState request = core.intake.open(Fleet.call(Fleet.SAFE, 100, 0));
        core.intake.submit(request);
        AttemptId id = new AttemptId(request.routingId, 0);
        Attempt attempt = new Attempt(request, id, "w0", 1, false, 0);
        core.attempts.started(attempt);
        core.attempts.streamStarted(attempt);
        request.tokens = tokens;
        return id;
    }

    private List<AttemptId> cancelled() {
        return commands.stream()
                .filter(Command.CancelAttempt.class::isInstance)
                .map(command -> ((Command.CancelAttempt) command).attempt())
                .toList();
    }

    @Test
    void theStreamsWithTheFewestTokensAreMigratedFirst() {
        stream(50);
        AttemptId youngest = stream(1);
        AttemptId second = stream(7);
        StreamMigration migration = migration(true);
        assertEquals(3, migration.migratableStreams());
        migration.migrateYoungest(2);
        assertEquals(List.of(youngest, second), cancelled());
        assertEquals(1, migration.migratableStreams());
    }

    @Test
    void nothingIsMigratedIfNeitherRouterNorClientResumes() {
        stream(5);
        StreamMigration migration = migration(false);
        migration.migrateYoungest(1);
        assertEquals(0, migration.migratableStreams());
        assertEquals(List.of(), cancelled());
    }
}
