package sorrelhoist.protocol.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import sorrelhoist.protocol.hpack.Headers;

/**
 * Tests that the counts of bytes and streams stay consistent for random sequences of sending,
 * returning credit, ending and resetting.
 */
class StreamAccountingTest {
    private static final int WINDOW = 3000;
    private static final int MAX_STREAMS = 20;

    /**
     * A random conversation between two connections, with the bytes sent and credited per stream.
     */
    private static final class Conversation {
        private final SplittableRandom random;
        private final Pair pair;
        private final Map<Integer, Integer> sent = new HashMap<>();
        private final Map<Integer, Integer> credited = new HashMap<>();
        private final Map<Integer, Http2Stream> clientStreams = new HashMap<>();

        Conversation(long seed) {
            random = new SplittableRandom(seed);
            pair =
                    new Pair(
                            Http2Limits.SERVER.withMaxStreams(MAX_STREAMS),
                            Http2Limits.CLIENT.withStreamWindow(WINDOW),
                            random.nextInt(3) * 50);
            pair.autoCredit = false;
        }

        void step() {
            int opened = pair.serverStreams.size();
            switch (random.nextInt(6)) {
                case 0 -> open();
                case 1, 2 -> {
                    if (opened > 0) {
                        send(pair.serverStreams.get(random.nextInt(opened)), random.nextInt(2500));
                    }
                }
                case 3, 4 -> credit();
                default -> {
                    if (opened > 0 && random.nextInt(3) == 0) {
                        pair.serverStreams.get(random.nextInt(opened)).reset(ErrorCode.CANCEL);
                    }
                }
            }
            pair.exchangeAll();
        }

        private void open() {
            Http2Stream stream = pair.open(true);
            assertTrue(stream != null || clientStreams.size() >= MAX_STREAMS);
            if (stream != null) {
                clientStreams.put(stream.id(), stream);
            }
        }

        private void send(Http2Stream stream, int size) {
            if (!stream.isClosed()) {
                if (!sent.containsKey(stream.id())) {
                    stream.writeHeaders(new Headers().add(":status", "200"), false);
                }
                stream.writeData(Unpooled.wrappedBuffer(new byte[size]), false);
                sent.merge(stream.id(), size, Integer::sum);
            }
        }

        private void credit() {
            if (!clientStreams.isEmpty()) {
                Integer[] ids = clientStreams.keySet().toArray(new Integer[0]);
                creditAll(ids[random.nextInt(ids.length)]);
            }
        }

        private void creditAll(int id) {
            int uncredited = received().getOrDefault(id, 0) - credited.getOrDefault(id, 0);
            if (uncredited > 0 && !clientStreams.get(id).isClosed()) {
                clientStreams.get(id).consumeBytes(uncredited);
                credited.merge(id, uncredited, Integer::sum);
            }
        }

        private Map<Integer, Integer> received() {
            Map<Integer, Integer> received = new HashMap<>();
            pair.receivedPieces.forEach(piece -> received.merge(piece[0], piece[1], Integer::sum));
            return received;
        }

        void assertWithinWindows() {
            received()
                    .forEach(
                            (id, bytes) -> {
                                assertTrue(
                                        bytes <= sent.get(id),
                                        "the client received more bytes than were sent");
                                assertTrue(
                                        bytes - credited.getOrDefault(id, 0) <= WINDOW,
                                        "the client received more bytes than its window allows");
                            });
        }

        void creditAllStreams() {
            for (int round = 0; round < 200; round++) {
                clientStreams.keySet().forEach(this::creditAll);
                pair.exchangeAll();
            }
        }

        void assertAllArrived() {
            Map<Integer, Integer> received = received();
            for (Http2Stream stream : pair.serverStreams) {
                if (!stream.isClosed()) {
                    int id = stream.id();
                    assertEquals(0, stream.pendingBytes(), "bytes are still queued");
                    assertEquals(sent.getOrDefault(id, 0), received.getOrDefault(id, 0));
                }
            }
        }

        void assertNothingStaysOpenAfterResets() {
            pair.serverStreams.forEach(stream -> stream.reset(ErrorCode.CANCEL));
            pair.exchangeAll();
            assertEquals(0, pair.client.openStreamCount());
            assertEquals(0, pair.server.openStreamCount());
        }
    }

    @Property(tries = 300, seed = "42")
    void byteAndStreamCountsStayConsistent(@ForAll long seed) {
        Conversation conversation = new Conversation(seed);
        for (int step = 0; step < 120; step++) {
            conversation.step();
            conversation.assertWithinWindows();
        }
        conversation.creditAllStreams();
        conversation.assertAllArrived();
        conversation.assertNothingStaysOpenAfterResets();
    }
}
