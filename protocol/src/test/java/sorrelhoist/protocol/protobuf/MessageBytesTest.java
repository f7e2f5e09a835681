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

        private String randomString() {
            return switch (random.nextInt(4)) {
                case 0 -> "";
                case 1 -> "é€" + random.nextInt();
                default -> "x".repeat(random.nextInt(200));
            };
        }

        private int randomCount() {
            return random.nextInt(4) == 0 ? 0 : random.nextInt() >>> 1 + random.nextInt(30);
        }

        private long randomLong() {
            return random.nextInt(4) == 0 ? 0 : random.nextLong() >> random.nextInt(63);
        }

        private double randomDouble() {
            return random.nextInt(4) == 0 ? 0 : random.nextDouble() * 1000 - 500;
        }

        private boolean randomBoolean() {
            return random.nextBoolean();
        }

        private byte[] randomBytes() {
            byte[] bytes = new byte[random.nextInt(3) * 40];
            random.nextBytes(bytes);
            return bytes;
        }

        private Map<String, Parameter> parameters() {
            Map<String, Parameter> all = new LinkedHashMap<>();
            for (int i = random.nextInt(5); i > 0; i--) {
                Object value =
                        switch (random.nextInt(5)) {
                            case 0 -> randomBoolean();
                            case 1 -> randomLong();
                            case 2 -> randomString();
                            case 3 -> randomDouble();
                            default -> null;
                        };
                all.put(randomString() + i, new Parameter(value));
            }
            return all;
        }

        private List<Tensor> tensors() {
            List<Tensor> all = new ArrayList<>();
            for (int i = random.nextInt(3); i > 0; i--) {
                List<Long> shape = new ArrayList<>();
                List<byte[]> contents = new ArrayList<>();
                for (int n = random.nextInt(3); n > 0; n--) {
                    shape.add(randomLong());
                    contents.add(randomBytes());
                }
                all.add(new Tensor(randomString(), randomString(), shape, contents));
            }
            return all;
        }

        private RosterEntry rosterEntry() {
            return new RosterEntry(
                    randomString(),
                    randomString(),
                    randomString(),
                    randomString(),
                    randomCount() % 3,
                    randomDouble(),
                    randomLong(),
                    randomLong(),
                    randomString());
        }

        private Hello hello() {
            return new Hello(randomString(), randomString(), randomLong(), randomString());
        }

        private Map<byte[], Parser> engineMessages() {
            Map<byte[], Parser> all = new LinkedHashMap<>();
            all.put(
                    new DecodeRequest(
                                    randomString(),
                                    randomString(),
                                    randomString(),
                                    randomCount(),
                                    randomString(),
                                    randomString(),
                                    randomString(),
                                    randomCount(),
                                    randomCount(),
                                    randomCount(),
                                    randomString(),
                                    randomCount())
                            .toByteArray(),
                    DecodeRequest::parse);
            all.put(
                    new PrefillRequest(
                                    randomString(),
                                    randomString(),
                                    randomString(),
                                    randomCount(),
                                    randomString(),
                                    randomCount(),
                                    randomCount(),
                                    randomCount())
                            .toByteArray(),
                    PrefillRequest::parse);
            all.put(
                    new PrefillReply(randomString(), randomCount()).toByteArray(),
                    PrefillReply::parse);
            all.put(
                    new DecodeEvent(new Token(randomCount(), randomString()), null).toByteArray(),
                    DecodeEvent::parse);
            all.put(
                    new DecodeEvent(null, new Finish(randomCount(), randomCount())).toByteArray(),
                    DecodeEvent::parse);
            all.put(new Token(randomCount(), randomString()).toByteArray(), Token::parse);
            all.put(new Finish(randomCount(), randomCount()).toByteArray(), Finish::parse);
            addReservationMessages(all);
            addStateTransferMessages(all);
            return all;
        }

        private void addReservationMessages(Map<byte[], Parser> all) {
            all.put(
                    new ReserveRequest(randomString(), randomCount(), randomCount()).toByteArray(),
                    ReserveRequest::parse);
            all.put(
                    new ReserveReply(randomBoolean(), randomString()).toByteArray(),
                    ReserveReply::parse);
            all.put(
                    new ReleaseRequest(
                                    randomString(), randomString(), randomString(), randomCount())
                            .toByteArray(),
                    ReleaseRequest::parse);
            all.put(new ReleaseReply(randomBoolean()).toByteArray(), ReleaseReply::parse);
        }

        private void addStateTransferMessages(Map<byte[], Parser> all) {
            all.put(
                    new FetchRequest(randomString(), randomString()).toByteArray(),
                    FetchRequest::parse);
            all.put(
                    new FetchReply(randomCount(), randomLong(), randomString()).toByteArray(),
                    FetchReply::parse);
            all.put(
                    new LoadReport(randomDouble(), randomDouble(), randomDouble(), randomDouble())
                            .toByteArray(),
                    LoadReport::parse);
            all.put(
                    new SnapshotRequest(
                                    randomString(),
                                    randomString(),
                                    randomLong(),
                                    randomBytes(),
                                    randomString(),
                                    randomBytes())
                            .toByteArray(),
                    SnapshotRequest::parse);
            all.put(
                    new SnapshotChunk(
                                    randomCount(),
                                    randomBytes(),
                                    randomBoolean(),
                                    randomString(),
                                    randomBytes())
                            .toByteArray(),
                    SnapshotChunk::parse);
        }

        private Map<byte[], Parser> planMessages() {
            Map<byte[], Parser> all = new LinkedHashMap<>();
            all.put(rosterEntry().toByteArray(), RosterEntry::parse);
            all.put(hello().toByteArray(), Hello::parse);
            all.put(
                    new Peer(randomString(), randomString(), randomString()).toByteArray(),
                    Peer::parse);
            all.put(
                    new PeerMessage(randomCount(), randomString()).toByteArray(),
                    PeerMessage::parse);
            all.put(
                    new ReplicaSlot(randomCount(), randomCount(), randomLong()).toByteArray(),
                    ReplicaSlot::parse);
            all.put(
                    new ProbeResult(
                                    randomString(),
                                    randomBoolean(),
                                    randomLong(),
                                    randomDouble(),
                                    randomDouble(),
                                    randomDouble(),
                                    randomDouble())
                            .toByteArray(),
                    ProbeResult::parse);
            List<RosterEntry> entries = new ArrayList<>();
            List<Peer> peers = new ArrayList<>();
            for (int i = random.nextInt(4); i > 0; i--) {
                entries.add(rosterEntry());
                peers.add(new Peer(randomString(), randomString(), randomString()));
            }
            List<PlanEvent> events =
                    List.of(
                            PlanEvent.of(
                                    new Roster(
                                            randomCount() % 3,
                                            entries,
                                            randomLong(),
                                            randomLong())),
                            PlanEvent.of(new PeerList(peers)),
                            PlanEvent.of(new PeerMessage(randomCount(), randomString())),
                            PlanEvent.of(
                                    new ReplicaSlot(randomCount(), randomCount(), randomLong())),
                            PlanEvent.of(
                                    new ProbeResult(
                                            randomString(),
                                            randomBoolean(),
                                            randomLong(),
                                            randomDouble(),
                                            randomDouble(),
                                            randomDouble(),
                                            randomDouble())));
            events.forEach(e -> all.put(e.toByteArray(), PlanEvent::parse));
            List<EdgeMessage> messages =
                    List.of(
                            new EdgeMessage.Handshake(hello()),
                            new EdgeMessage.ProbeRequest(randomString()),
                            new EdgeMessage.RelayRequest(random.nextInt(), randomString()),
                            new EdgeMessage.RosterRequest());
            messages.forEach(m -> all.put(m.toByteArray(), EdgeMessage::parse));
            return all;
        }

        private Map<byte[], Parser> inferenceMessages() {
            Map<byte[], Parser> all = new LinkedHashMap<>();
            all.put(
                    new InferRequest(
                                    randomString(),
                                    randomString(),
                                    randomString(),
                                    parameters(),
                                    tensors(),
                                    List.of(randomBytes(), randomBytes()))
                            .toByteArray(),
                    InferRequest::parse);
            InferResponse response =
                    new InferResponse(randomString(), randomString(), parameters(), tensors());
            all.put(response.toByteArray(), InferResponse::parse);
            all.put(response.toStreamResponseBytes(), InferResponse::parseStreamResponse);
            all.put(ModelMessages.booleanResponse(randomBoolean()), ModelMessages::parseName);
            all.put(ModelMessages.healthCheckResponse(randomCount()), ModelMessages::parseName);
            all.put(
                    ModelMessages.serverMetadata(randomString(), randomString()),
                    ModelMessages::parseName);
            all.put(ModelMessages.modelMetadata(randomString()), ModelMessages::parseName);
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
