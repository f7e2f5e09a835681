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

/**
 * Runs both sides of the knowledge transfer between edges for one edge: the client, and the server
 * as a background job of the router.
 */
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

    /** Creates the task. Returns empty if no keys for state transfers are configured. */
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

    /** Starts to serve other edges' transfer requests. */
    void start(GrpcServer grpcServer) {
        grpcServer.addMethod(SnapshotServer.METHOD_PATH, server::accept);
        router.addBackgroundJob(
                JOB,
                now -> {
                    long delay = server.runSlice(router::countBackgroundBytes);
                    return delay == Long.MAX_VALUE ? Long.MAX_VALUE : now + delay;
                });
    }

    /** Passes the changed list of the other edges to the client. */
    void donorsChanged(List<DonorSelection.Donor> donors) {
        client.donorsChanged(donors);
    }

    /**
     * Allows the client to ask other edges. Called once the engines are listed and the own
     * snapshots are restored.
     */
    void ready() {
        client.ready();
    }

    /** Stops the client, which then asks no other edges. */
    void stop() {
        client.stop();
    }
}
