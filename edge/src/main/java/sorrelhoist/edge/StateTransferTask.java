package sorrelhoist.edge;

import io.netty.channel.EventLoopGroup;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import sorrelhoist.core.members.EngineTable;
import sorrelhoist.core.scheduling.BackgroundScheduler;
import sorrelhoist.core.statetransfer.DonorSelection;
import sorrelhoist.core.statetransfer.MessageAuthenticator;
import sorrelhoist.core.statetransfer.ProcessIdentityTranslator;
import sorrelhoist.edge.statetransfer.SnapshotClient;
import sorrelhoist.edge.statetransfer.SnapshotServer;
import sorrelhoist.protocol.grpc.GrpcServer;
import sorrelhoist.routing.Knowledge;

/** The transfer of knowledge between edges: the two sides of it, put together for one edge. */
final class StateTransferTask {
    private static final BackgroundScheduler.Job JOB =
            new BackgroundScheduler.Job("state-transfer", 2, 30_000, 4 << 20, 5_000_000);

    private final RouterEventLoop router;
    private final SnapshotServer server;
    private final SnapshotClient client;

    private StateTransferTask(
            EdgeSettings settings,
            RouterEventLoop router,
            EngineTable engines,
            EventLoopGroup network,
            Supplier<CompletableFuture<Knowledge>> ownKnowledge) {
        this.router = router;
        MessageAuthenticator authenticator = authenticator(settings.teachKeys());
        this.server =
                new SnapshotServer(
                        settings.name(),
                        authenticator,
                        maxPrefixes ->
                                ProcessIdentityTranslator.toIncarnations(
                                        router.knowledge(maxPrefixes), engines),
                        task -> router.execute(r -> task.run()),
                        () -> router.scheduleBackgroundJob(JOB));
        this.client =
                new SnapshotClient(
                        settings.name(),
                        settings.zone(),
                        authenticator,
                        network.next(),
                        ownKnowledge,
                        knowledge -> router.execute(r -> importKnowledge(knowledge, engines)));
    }

    /** {@return the task; empty if the edges share no keys} */
    static Optional<StateTransferTask> create(
            EdgeSettings settings,
            RouterEventLoop router,
            EngineTable engines,
            EventLoopGroup network,
            Supplier<CompletableFuture<Knowledge>> ownKnowledge) {
        return settings.teachKeys().isEmpty()
                ? Optional.empty()
                : Optional.of(
                        new StateTransferTask(settings, router, engines, network, ownKnowledge));
    }

    private static MessageAuthenticator authenticator(List<EdgeSettings.KeySettings> keys) {
        Map<String, String> secretsById = new LinkedHashMap<>();
        keys.forEach(key -> secretsById.put(key.id(), key.secret()));
        return new MessageAuthenticator(secretsById);
    }

    private void importKnowledge(Knowledge knowledge, EngineTable engines) {
        router.importKnowledge(ProcessIdentityTranslator.toLocalStartTimes(knowledge, engines), 0);
    }

    /** Serves other edges. */
    void start(GrpcServer grpcServer) {
        grpcServer.addMethod(SnapshotServer.METHOD_PATH, server::accept);
        router.addBackgroundJob(
                JOB,
                now -> {
                    long delay = server.runSlice(router::countBackgroundBytes);
                    return delay == Long.MAX_VALUE ? Long.MAX_VALUE : now + delay;
                });
    }

    /** The other edges have changed. */
    void donorsChanged(List<DonorSelection.Donor> donors) {
        client.donorsChanged(donors);
    }

    /** The engines are listed and the own snapshots restored: other edges may be asked. */
    void ready() {
        client.ready();
    }

    /** Asks no other edge any more. */
    void stop() {
        client.stop();
    }
}
