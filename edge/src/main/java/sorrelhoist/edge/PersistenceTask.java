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

/** The persistence of an edge's knowledge, as a background job of its router. */
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

    /** Opens the storage. {@return its task; empty if none is configured or it cannot be used} */
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
                    .log("pastFolder {} cannot be used: {}", folder, e.toString());
            return Optional.empty();
        }
    }

    /** Restores what was persisted, and persists from then on; on the router's thread. */
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

    /** Finishes the writes that are under way. */
    void stop() {
        persistence.stop();
    }
}
