package sorrelhoist.edge.teach;

import io.netty.channel.EventLoop;
import java.util.List;
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

/** Asks running routers what they know, at this one's start. Runs on one network thread. */
public final class Learner {
    private static final Logger LOG = LoggerFactory.getLogger(Learner.class);
    private static final long EXCHANGE_SECONDS = 15;
    private final String name;
    private final MessageAuthenticator seal;
    private final EventLoop loop;
    private final DonorSelection plan;
    private final Supplier<java.util.concurrent.CompletableFuture<Knowledge>> known;
    private final Consumer<Knowledge> learn;
    private List<DonorSelection.Donor> peers = List.of();
    private long exchange = System.currentTimeMillis() << 8;
    private boolean ready;
    private boolean asking;
    private boolean stopped;

    /**
     * Makes a learner.
     *
     * @param name this edge's
     * @param zone this edge's
     * @param seal signs and verifies
     * @param loop where it runs
     * @param known gives what is known already
     * @param learn takes what was taught
     */
    public Learner(
            String name,
            String zone,
            MessageAuthenticator seal,
            EventLoop loop,
            Supplier<java.util.concurrent.CompletableFuture<Knowledge>> known,
            Consumer<Knowledge> learn) {
        this.name = name;
        this.seal = seal;
        this.loop = loop;
        this.plan = new DonorSelection(zone);
        this.known = known;
        this.learn = learn;
    }

    /** The planner told of the other edges. */
    public void peers(List<DonorSelection.Donor> all) {
        loop.execute(
                () -> {
                    peers = all;
                    ask();
                });
    }

    /** The roster is known, and the own past taken: what is taught can be understood. */
    public void ready() {
        loop.execute(
                () -> {
                    ready = true;
                    ask();
                });
    }

    /** Asks nobody any more. */
    public void stop() {
        stopped = true;
    }

    private void ask() {
        DonorSelection.Donor peer = !ready || asking || stopped ? null : plan.nextDonor(peers);
        if (peer == null) {
            return;
        }
        asking = true;
        known.get().thenAccept(k -> loop.execute(() -> ask(peer, k)));
    }

    private void ask(DonorSelection.Donor peer, Knowledge have) {
        GrpcChannel channel;
        try {
            channel = new GrpcChannel(loop, peer.address(), GrpcChannel.Options.BACKGROUND);
        } catch (IllegalArgumentException e) {
            asking = false;
            return;
        }
        long number = ++exchange;
        byte[] digest = KeyDigest.encode(have);
        ClientCall call =
                channel.newCall(
                        Teacher.TEACH,
                        null,
                        new ClientCall.Listener() {
                            private int index;
                            private boolean whole;

                            @Override
                            public void onMessage(ClientCall c, byte[] message, int wireBytes) {
                                c.consumeBytes(wireBytes);
                                try {
                                    SnapshotChunk chunk = SnapshotChunk.parse(message);
                                    if (chunk.index() != index
                                            || !seal.verify(
                                                    chunk.keyId(),
                                                    chunk.mac(),
                                                    peer.edge(),
                                                    name,
                                                    number,
                                                    index,
                                                    chunk.payload())) {
                                        LOG.atWarn()
                                                .addKeyValue("event", "lesson_refused")
                                                .addKeyValue("peer", peer.edge())
                                                .log("a chunk's seal or place is not right");
                                        c.cancel();
                                        return;
                                    }
                                    index++;
                                    whole = chunk.last();
                                    if (chunk.payload().length > 0) {
                                        learn.accept(KnowledgeCodec.decode(chunk.payload()));
                                    }
                                } catch (ProtoException
                                        | KnowledgeCodec.CorruptKnowledgeException e) {
                                    LOG.atWarn()
                                            .addKeyValue("event", "lesson_refused")
                                            .addKeyValue("peer", peer.edge())
                                            .log("a chunk cannot be read: {}", e.getMessage());
                                    c.cancel();
                                }
                            }

                            @Override
                            public void onClose(
                                    ClientCall c,
                                    Status status,
                                    Headers trailers,
                                    ClientCall.Termination end) {
                                LOG.atInfo()
                                        .addKeyValue("event", "lesson")
                                        .addKeyValue("peer", peer.edge())
                                        .addKeyValue("chunks", index)
                                        .addKeyValue("whole", whole)
                                        .log(status.code().toString());
                                if (whole) {
                                    plan.transferCompleted(peer);
                                }
                                channel.shutdown();
                                asking = false;
                                ask();
                            }
                        });
        call.sendLast(
                new SnapshotRequest(
                                name,
                                peer.edge(),
                                number,
                                digest,
                                seal.signingKeyId(),
                                seal.sign(name, peer.edge(), number, 0, digest))
                        .toByteArray());
        channel.start(call);
        // A peer that trickles is given up; what has come stays.
        loop.schedule(call::cancel, EXCHANGE_SECONDS, TimeUnit.SECONDS);
    }
}
