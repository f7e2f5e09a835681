package sorrelhoist.edge;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.core.members.EngineTable;
import sorrelhoist.core.scheduling.BackgroundScheduler;
import sorrelhoist.core.statetransfer.ProcessIdentityTranslator;
import sorrelhoist.edge.persistence.DirectoryStorage;
import sorrelhoist.edge.persistence.KnowledgePersistence;
import sorrelhoist.routing.Knowledge;

/** Persists an edge's knowledge as a background job of its router. */
final class PersistenceTask {
    private static final Logger LOG = LoggerFactory.getLogger(PersistenceTask.class);
    private static final BackgroundScheduler.Job JOB =
            new BackgroundScheduler.Job("persistence", 1, 50_000, 16 << 20, 10_000_000);

    private final KnowledgePersistence persistence;
    private final RouterEventLoop router;
    private final EngineTable engines;

    private PersistenceTask(
            KnowledgePersistence persistence, RouterEventLoop router, EngineTable engines) {
        this.persistence = persistence;
        this.router = router;
        this.engines = engines;
    }

    /**
     * Opens the directory for snapshots. Returns empty if none is configured or it cannot be used;
     * the latter is logged.
     */
    static Optional<PersistenceTask> open(
            String folder, RouterEventLoop router, EngineTable engines) {
        if (folder.isEmpty()) {
            return Optional.empty();
        }
        try {
            DirectoryStorage storage = new DirectoryStorage(Path.of(folder));
            return Optional.of(
                    new PersistenceTask(
                            new KnowledgePersistence(storage, router.now()), router, engines));
        } catch (IOException e) {
            LOG.atWarn()
                    .addKeyValue("event", "snapshots_unreadable")
                    .log(
                            "failed to open pastFolder {}, so no snapshots are written: {}",
                            folder,
                            e.toString());
            return Optional.empty();
        }
    }

    /**
     * Imports the persisted knowledge, and starts to persist snapshots. Called on the router's
     * thread.
     */
    void restoreAndStart() {
        persistence
                .restore(router.now())
                .forEach(
                        snapshot ->
                                router.importKnowledge(
                                        ProcessIdentityTranslator.toLocalStartTimes(
                                                snapshot.knowledge(), engines),
                                        snapshot.ageMicros()));
        router.addBackgroundJob(JOB, this::runSlice);
    }

    private long runSlice(long now) {
        int maxPrefixes = persistence.maxPrefixesDue(now);
        if (maxPrefixes > 0) {
            Knowledge knowledge = router.knowledge(maxPrefixes);
            persistence.write(now, ProcessIdentityTranslator.toIncarnations(knowledge, engines));
        }
        return persistence.nextDueAt();
    }

    /** Finishes the pending writes. Blocks for a limited time. */
    void stop() {
        persistence.stop();
    }
}
