package sorrelhoist.edge.statetransfer;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.core.statetransfer.DonorSelection;
import sorrelhoist.core.statetransfer.KeyDigest;
import sorrelhoist.core.statetransfer.KnowledgeCodec;
import sorrelhoist.core.statetransfer.MessageAuthenticator;
import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.grpc.GrpcChannel;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.protobuf.ProtoException;
import sorrelhoist.protocol.statetransfer.SnapshotChunk;
import sorrelhoist.protocol.statetransfer.SnapshotRequest;
import sorrelhoist.routing.Knowledge;

/**
 * Fetches knowledge from running edges (donors) while this edge starts, from one donor at a time.
 * Its state belongs to one network thread.
 */
public final class SnapshotClient {
    private static final Logger LOG = LoggerFactory.getLogger(SnapshotClient.class);
    private static final long TRANSFER_TIMEOUT_SECONDS = 15;

    private final String edgeName;
    private final MessageAuthenticator authenticator;
    private final EventLoop network;
    private final DonorSelection donorSelection;
    private final Supplier<CompletableFuture<Knowledge>> ownKnowledge;
    private final Consumer<Knowledge> onKnowledge;
    private List<DonorSelection.Donor> donors = List.of();
    private long lastExchangeId = System.currentTimeMillis() << 8;
    private boolean ready;
    private boolean transferring;
    private volatile boolean stopped;

    /**
     * Creates a client. It starts no transfer before {@link #ready} and {@link #donorsChanged} were
     * called.
     *
     * @param edgeName this edge's name
     * @param zone this edge's zone; donors of the same zone are preferred
     * @param authenticator signs requests and verifies chunks
     * @param network the network thread of the client
     * @param ownKnowledge supplies the knowledge that this edge already has
     * @param onKnowledge receives the donors' knowledge
     */
    public SnapshotClient(
            String edgeName,
            String zone,
            MessageAuthenticator authenticator,
            EventLoop network,
            Supplier<CompletableFuture<Knowledge>> ownKnowledge,
            Consumer<Knowledge> onKnowledge) {
        this.edgeName = edgeName;
        this.authenticator = authenticator;
        this.network = network;
        this.donorSelection = new DonorSelection(zone);
        this.ownKnowledge = ownKnowledge;
        this.onKnowledge = onKnowledge;
    }

    /**
     * Replaces the list of the other edges.
     *
     * @param all the possible donors
     */
    public void donorsChanged(List<DonorSelection.Donor> all) {
        network.execute(
                () -> {
                    donors = all;
                    startNextTransfer();
                });
    }

    /**
     * Allows transfers to start. Called once the engines are listed and the own snapshots are
     * restored, as donors' knowledge can be imported only then.
     */
    public void ready() {
        network.execute(
                () -> {
                    ready = true;
                    startNextTransfer();
                });
    }

    /** Stops the client: no further transfer is started. */
    public void stop() {
        stopped = true;
    }

    private void startNextTransfer() {
        if (!ready || transferring || stopped) {
            return;
        }
        DonorSelection.Donor donor = donorSelection.nextDonor(donors);
        if (donor != null) {
            transferring = true;
            ownKnowledge
                    .get()
                    .thenAccept(known -> network.execute(() -> startTransfer(donor, known)));
        }
    }

    private void startTransfer(DonorSelection.Donor donor, Knowledge known) {
        GrpcChannel channel;
        try {
            channel = new GrpcChannel(network, donor.address(), GrpcChannel.Options.BACKGROUND);
        } catch (IllegalArgumentException e) {
            transferring = false;
            return;
        }
        long exchangeId = ++lastExchangeId;
        ClientCall call =
                channel.newCall(
                        SnapshotServer.METHOD_PATH, null, new Transfer(donor, channel, exchangeId));
        call.sendLast(request(donor, exchangeId, KeyDigest.encode(known)).toByteArray());
        channel.start(call);
        // Cancels the transfer of a donor that is too slow; the chunks received so far are kept.
        network.schedule(call::cancel, TRANSFER_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private SnapshotRequest request(DonorSelection.Donor donor, long exchangeId, byte[] digest) {
        return new SnapshotRequest(
                edgeName,
                donor.edge(),
                exchangeId,
                digest,
                authenticator.signingKeyId(),
                authenticator.sign(edgeName, donor.edge(), exchangeId, 0, digest));
    }

    /** Receives one donor's response: chunks in order, of which the last one is marked. */
    private final class Transfer implements ClientCall.Listener {
        private final DonorSelection.Donor donor;
        private final GrpcChannel channel;
        private final long exchangeId;
        private int nextIndex;
        private boolean complete;

        Transfer(DonorSelection.Donor donor, GrpcChannel channel, long exchangeId) {
            this.donor = donor;
            this.channel = channel;
            this.exchangeId = exchangeId;
        }

        @Override
        public void onMessage(ClientCall call, byte[] message, int wireBytes) {
            call.consumeBytes(wireBytes);
            try {
                SnapshotChunk chunk = SnapshotChunk.parse(message);
                if (!isAuthentic(chunk)) {
                    reject(call, "chunk has an invalid signature or index");
                    return;
                }
                nextIndex++;
                complete = chunk.last();
                if (chunk.payload().length > 0) {
                    onKnowledge.accept(KnowledgeCodec.decode(chunk.payload()));
                }
            } catch (ProtoException | KnowledgeCodec.CorruptKnowledgeException e) {
                reject(call, "malformed chunk: " + e.getMessage());
            }
        }

        private boolean isAuthentic(SnapshotChunk chunk) {
            return chunk.index() == nextIndex
                    && authenticator.verify(
                            chunk.keyId(),
                            chunk.mac(),
                            donor.edge(),
                            edgeName,
                            exchangeId,
                            nextIndex,
                            chunk.payload());
        }

        private void reject(ClientCall call, String problem) {
            LOG.atWarn()
                    .addKeyValue("event", "state_transfer_rejected")
                    .addKeyValue("peer", donor.edge())
                    .log(problem);
            call.cancel();
        }

        @Override
        public void onClose(
                ClientCall call,
                Status status,
                Headers trailers,
                ClientCall.Termination termination) {
            LOG.atInfo()
                    .addKeyValue("event", "state_transfer")
                    .addKeyValue("peer", donor.edge())
                    .addKeyValue("chunks", nextIndex)
                    .addKeyValue("complete", complete)
                    .log(status.code().toString());
            if (complete) {
                donorSelection.transferCompleted(donor);
            }
            channel.shutdown();
            transferring = false;
            startNextTransfer();
        }
    }
}
