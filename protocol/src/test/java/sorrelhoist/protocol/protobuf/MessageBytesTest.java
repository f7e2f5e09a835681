package sorrelhoist.protocol.protobuf;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.zip.CRC32;
import org.junit.jupiter.api.Test;
import sorrelhoist.protocol.engine.DecodeEvent;
import sorrelhoist.protocol.engine.DecodeRequest;
import sorrelhoist.protocol.engine.FetchReply;
import sorrelhoist.protocol.engine.FetchRequest;
import sorrelhoist.protocol.engine.Finish;
import sorrelhoist.protocol.engine.LoadReport;
import sorrelhoist.protocol.engine.PrefillReply;
import sorrelhoist.protocol.engine.PrefillRequest;
import sorrelhoist.protocol.engine.ReleaseReply;
import sorrelhoist.protocol.engine.ReleaseRequest;
import sorrelhoist.protocol.engine.ReserveReply;
import sorrelhoist.protocol.engine.ReserveRequest;
import sorrelhoist.protocol.engine.Token;
import sorrelhoist.protocol.inference.InferRequest;
import sorrelhoist.protocol.inference.InferResponse;
import sorrelhoist.protocol.inference.ModelMessages;
import sorrelhoist.protocol.inference.Parameter;
import sorrelhoist.protocol.inference.Tensor;
import sorrelhoist.protocol.plan.EdgeMessage;
import sorrelhoist.protocol.plan.Hello;
import sorrelhoist.protocol.plan.Peer;
import sorrelhoist.protocol.plan.PeerList;
import sorrelhoist.protocol.plan.PeerMessage;
import sorrelhoist.protocol.plan.PlanEvent;
import sorrelhoist.protocol.plan.ProbeResult;
import sorrelhoist.protocol.plan.ReplicaSlot;
import sorrelhoist.protocol.plan.Roster;
import sorrelhoist.protocol.plan.RosterEntry;
import sorrelhoist.protocol.statetransfer.SnapshotChunk;
import sorrelhoist.protocol.statetransfer.SnapshotRequest;

/**
 * Guards against changes of the encoding of messages and of the result of decoding damaged ones.
 * The checksums were computed when each class still had handwritten code for its fields.
 */
@SuppressWarnings("ArrayAsKeyOfSetOrMap") // arrays are identity keys, in insertion order
class MessageBytesTest {
    private static final int SEEDS = 200;

    private interface Parser {
        Object parse(byte[] bytes) throws ProtoException;
    }

    /** Creates one message of each type with random values, of which many are default values. */
    private static final class RandomMessages {
        private final SplittableRandom random;

        RandomMessages(long seed) {
            random = new SplittableRandom(seed);
        }

        private String text() {
            return switch (random.nextInt(4)) {
                case 0 -> "";
                case 1 -> "é€" + random.nextInt();
                default -> "x".repeat(random.nextInt(200));
            };
        }

        private int count() {
            return random.nextInt(4) == 0 ? 0 : random.nextInt() >>> 1 + random.nextInt(30);
        }

        private long wide() {
            return random.nextInt(4) == 0 ? 0 : random.nextLong() >> random.nextInt(63);
        }

        private double real() {
            return random.nextInt(4) == 0 ? 0 : random.nextDouble() * 1000 - 500;
        }

        private boolean flag() {
            return random.nextBoolean();
        }

        private byte[] raw() {
            byte[] bytes = new byte[random.nextInt(3) * 40];
            random.nextBytes(bytes);
            return bytes;
        }

        private Map<String, Parameter> parameters() {
            Map<String, Parameter> all = new LinkedHashMap<>();
            for (int i = random.nextInt(5); i > 0; i--) {
                Object value =
                        switch (random.nextInt(5)) {
                            case 0 -> flag();
                            case 1 -> wide();
                            case 2 -> text();
                            case 3 -> real();
                            default -> null;
                        };
                all.put(text() + i, new Parameter(value));
            }
            return all;
        }

        private List<Tensor> tensors() {
            List<Tensor> all = new ArrayList<>();
            for (int i = random.nextInt(3); i > 0; i--) {
                List<Long> shape = new ArrayList<>();
                List<byte[]> contents = new ArrayList<>();
                for (int n = random.nextInt(3); n > 0; n--) {
                    shape.add(wide());
                    contents.add(raw());
                }
                all.add(new Tensor(text(), text(), shape, contents));
            }
            return all;
        }

        private RosterEntry rosterEntry() {
            return new RosterEntry(
                    text(), text(), text(), text(), count() % 3, real(), wide(), wide(), text());
        }

        private Hello hello() {
            return new Hello(text(), text(), wide(), text());
        }

        private Map<byte[], Parser> engineMessages() {
            Map<byte[], Parser> all = new LinkedHashMap<>();
            all.put(
                    new DecodeRequest(
                                    text(), text(), text(), count(), text(), text(), text(),
                                    count(), count(), count(), text(), count())
                            .toByteArray(),
                    DecodeRequest::parse);
            all.put(
                    new PrefillRequest(
                                    text(), text(), text(), count(), text(), count(), count(),
                                    count())
                            .toByteArray(),
                    PrefillRequest::parse);
            all.put(new PrefillReply(text(), count()).toByteArray(), PrefillReply::parse);
            all.put(
                    new DecodeEvent(new Token(count(), text()), null).toByteArray(),
                    DecodeEvent::parse);
            all.put(
                    new DecodeEvent(null, new Finish(count(), count())).toByteArray(),
                    DecodeEvent::parse);
            all.put(new Token(count(), text()).toByteArray(), Token::parse);
            all.put(new Finish(count(), count()).toByteArray(), Finish::parse);
            addReservationMessages(all);
            addStateTransferMessages(all);
            return all;
        }

        private void addReservationMessages(Map<byte[], Parser> all) {
            all.put(
                    new ReserveRequest(text(), count(), count()).toByteArray(),
                    ReserveRequest::parse);
            all.put(new ReserveReply(flag(), text()).toByteArray(), ReserveReply::parse);
            all.put(
                    new ReleaseRequest(text(), text(), text(), count()).toByteArray(),
                    ReleaseRequest::parse);
            all.put(new ReleaseReply(flag()).toByteArray(), ReleaseReply::parse);
        }

        private void addStateTransferMessages(Map<byte[], Parser> all) {
            all.put(new FetchRequest(text(), text()).toByteArray(), FetchRequest::parse);
            all.put(new FetchReply(count(), wide(), text()).toByteArray(), FetchReply::parse);
            all.put(
                    new LoadReport(real(), real(), real(), real()).toByteArray(),
                    LoadReport::parse);
            all.put(
                    new SnapshotRequest(text(), text(), wide(), raw(), text(), raw()).toByteArray(),
                    SnapshotRequest::parse);
            all.put(
                    new SnapshotChunk(count(), raw(), flag(), text(), raw()).toByteArray(),
                    SnapshotChunk::parse);
        }

        private Map<byte[], Parser> planMessages() {
            Map<byte[], Parser> all = new LinkedHashMap<>();
            all.put(rosterEntry().toByteArray(), RosterEntry::parse);
            all.put(hello().toByteArray(), Hello::parse);
            all.put(new Peer(text(), text(), text()).toByteArray(), Peer::parse);
            all.put(new PeerMessage(count(), text()).toByteArray(), PeerMessage::parse);
            all.put(new ReplicaSlot(count(), count(), wide()).toByteArray(), ReplicaSlot::parse);
            all.put(
                    new ProbeResult(text(), flag(), wide(), real(), real(), real(), real())
                            .toByteArray(),
                    ProbeResult::parse);
            List<RosterEntry> entries = new ArrayList<>();
            List<Peer> peers = new ArrayList<>();
            for (int i = random.nextInt(4); i > 0; i--) {
                entries.add(rosterEntry());
                peers.add(new Peer(text(), text(), text()));
            }
            List<PlanEvent> events =
                    List.of(
                            PlanEvent.of(new Roster(count() % 3, entries, wide(), wide())),
                            PlanEvent.of(new PeerList(peers)),
                            PlanEvent.of(new PeerMessage(count(), text())),
                            PlanEvent.of(new ReplicaSlot(count(), count(), wide())),
                            PlanEvent.of(
                                    new ProbeResult(
                                            text(), flag(), wide(), real(), real(), real(),
                                            real())));
            events.forEach(e -> all.put(e.toByteArray(), PlanEvent::parse));
            List<EdgeMessage> messages =
                    List.of(
                            new EdgeMessage.Handshake(hello()),
                            new EdgeMessage.ProbeRequest(text()),
                            new EdgeMessage.RelayRequest(random.nextInt(), text()),
                            new EdgeMessage.RosterRequest());
            messages.forEach(m -> all.put(m.toByteArray(), EdgeMessage::parse));
            return all;
        }

        private Map<byte[], Parser> inferenceMessages() {
            Map<byte[], Parser> all = new LinkedHashMap<>();
            all.put(
                    new InferRequest(
                                    text(),
                                    text(),
                                    text(),
                                    parameters(),
                                    tensors(),
                                    List.of(raw(), raw()))
                            .toByteArray(),
                    InferRequest::parse);
            InferResponse response = new InferResponse(text(), text(), parameters(), tensors());
            all.put(response.toByteArray(), InferResponse::parse);
            all.put(response.toStreamResponseBytes(), InferResponse::parseStreamResponse);
            all.put(ModelMessages.booleanResponse(flag()), ModelMessages::parseName);
            all.put(ModelMessages.healthCheckResponse(count()), ModelMessages::parseName);
            all.put(ModelMessages.serverMetadata(text(), text()), ModelMessages::parseName);
            all.put(ModelMessages.modelMetadata(text()), ModelMessages::parseName);
            return all;
        }
    }

    private static String describe(Object parsed) {
        // The text of an array contains its identity hash code, which differs between runs.
        return parsed.toString().replaceAll("\\[B@[0-9a-f]+", "bytes");
    }

    private static String parsed(Parser parser, byte[] bytes) {
        try {
            return describe(String.valueOf(parser.parse(bytes)));
        } catch (ProtoException e) {
            return "refused: " + e.getMessage();
        }
    }

    private static byte[] damaged(byte[] bytes, SplittableRandom random) {
        byte[] copy =
                Arrays.copyOf(
                        bytes,
                        bytes.length - (random.nextInt(4) == 0 ? random.nextInt(bytes.length) : 0));
        for (int i = random.nextInt(4); i > 0 && copy.length > 0; i--) {
            copy[random.nextInt(copy.length)] = (byte) random.nextInt(130);
        }
        return copy;
    }

    private static String checksum(int which) {
        CRC32 sum = new CRC32();
        for (long seed = 0; seed < SEEDS; seed++) {
            RandomMessages messages = new RandomMessages(seed);
            SplittableRandom damage = new SplittableRandom(seed);
            Map<byte[], Parser> all =
                    switch (which) {
                        case 0 -> messages.engineMessages();
                        case 1 -> messages.planMessages();
                        default -> messages.inferenceMessages();
                    };
            all.forEach(
                    (bytes, parser) -> {
                        sum.update(bytes);
                        sum.update(
                                parsed(parser, bytes)
                                        .replaceAll("[A-Za-z]+[=\\[]", "")
                                        .getBytes(StandardCharsets.UTF_8));
                        if (bytes.length > 0) {
                            sum.update(
                                    parsed(parser, damaged(bytes, damage))
                                            .replaceAll("[A-Za-z]+[=\\[]", "")
                                            .getBytes(StandardCharsets.UTF_8));
                        }
                    });
        }
        return Long.toHexString(sum.getValue());
    }

    @Test
    void engineAndStateTransferMessagesHaveUnchangedBytes() {
        assertEquals("d73e9519", checksum(0));
    }

    @Test
    void planMessagesHaveUnchangedBytes() {
        assertEquals("8ab15376", checksum(1));
    }

    @Test
    void inferenceMessagesHaveUnchangedBytes() {
        assertEquals("862951c1", checksum(2));
    }
}
