package sorrelhoist.edge.teach;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sorrelhoist.Knowledge;
import sorrelhoist.core.know.Digest;
import sorrelhoist.core.know.KnowledgeForm;
import sorrelhoist.core.know.LearnPlan;
import sorrelhoist.core.know.Seal;
import sorrelhoist.protocol.grpc.ClientCall;
import sorrelhoist.protocol.grpc.GrpcChannel;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.know.LearnRequest;
import sorrelhoist.protocol.know.LessonChunk;
import sorrelhoist.protocol.protobuf.ProtoException;

/** Asks running routers what they know, at this one's start. Runs on one network thread. */
public final class Learner {
    private static final Logger LOG = LoggerFactory.getLogger(Learner.class);
    private static final long EXCHANGE_SECONDS = 15;
    private final String name;
    private final Seal seal;
    private final EventLoop loop;
    private final LearnPlan plan;
    private final Supplier<java.util.concurrent.CompletableFuture<Knowledge>> known;
    private final Consumer<Knowledge> learn;
    private List<LearnPlan.Peer> peers = List.of();
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
            Seal seal,
            EventLoop loop,
            Supplier<java.util.concurrent.CompletableFuture<Knowledge>> known,
            Consumer<Knowledge> learn) {
        this.name = name;
        this.seal = seal;
        this.loop = loop;
        this.plan = new LearnPlan(zone);
        this.known = known;
        this.learn = learn;
    }

    /** The planner told of the other edges. */
    public void peers(List<LearnPlan.Peer> all) {
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
        LearnPlan.Peer peer = !ready || asking || stopped ? null : plan.next(peers);
        if (peer == null) {
            return;
        }
        asking = true;
        known.get().thenAccept(k -> loop.execute(() -> ask(peer, k)));
    }

    private void ask(LearnPlan.Peer peer, Knowledge have) {
        GrpcChannel channel;
        try {
            channel = new GrpcChannel(loop, peer.address(), GrpcChannel.Options.PLAIN);
        } catch (IllegalArgumentException e) {
            asking = false;
            return;
        }
        long number = ++exchange;
        byte[] digest = Digest.of(have);
        ClientCall call =
                channel.call(
                        Teacher.TEACH,
                        null,
                        new ClientCall.Listener() {
                            private int index;
                            private boolean whole;

                            @Override
                            public void message(ClientCall c, byte[] message, int wireBytes) {
                                c.credit(wireBytes);
                                try {
                                    LessonChunk chunk = LessonChunk.parse(message);
                                    if (chunk.index() != index
                                            || !seal.verify(
                                                    chunk.keyId(),
                                                    chunk.tag(),
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
                                        learn.accept(KnowledgeForm.read(chunk.payload()));
                                    }
                                } catch (ProtoException | KnowledgeForm.Unreadable e) {
                                    LOG.atWarn()
                                            .addKeyValue("event", "lesson_refused")
                                            .addKeyValue("peer", peer.edge())
                                            .log("a chunk cannot be read: {}", e.getMessage());
                                    c.cancel();
                                }
                            }

                            @Override
                            public void closed(
                                    ClientCall c,
                                    Status status,
                                    Headers trailers,
                                    ClientCall.End end) {
                                LOG.atInfo()
                                        .addKeyValue("event", "lesson")
                                        .addKeyValue("peer", peer.edge())
                                        .addKeyValue("chunks", index)
                                        .addKeyValue("whole", whole)
                                        .log(status.code().toString());
                                if (whole) {
                                    plan.taught(peer);
                                }
                                channel.shut();
                                asking = false;
                                ask();
                            }
                        });
        call.sendLast(
                new LearnRequest(
                                name,
                                peer.edge(),
                                number,
                                digest,
                                seal.keyId(),
                                seal.sign(name, peer.edge(), number, 0, digest))
                        .bytes());
        channel.start(call);
        // A peer that trickles is given up; what has come stays.
        loop.schedule(call::cancel, EXCHANGE_SECONDS, TimeUnit.SECONDS);
    }
}
