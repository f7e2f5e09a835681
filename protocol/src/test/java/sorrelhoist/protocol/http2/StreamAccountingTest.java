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

/** Whatever is sent, credited, ended and reset in whatever order: bytes and streams add up. */
class StreamAccountingTest {
    private static final int WINDOW = 3000;
    private static final int MAX_STREAMS = 20;

    /** One conversation, and what each side knows of it. */
    private static final class Conversation {
        private final SplittableRandom random;
        private final Pair pair;
        private final Map<Integer, Integer> sent = new HashMap<>();
        private final Map<Integer, Integer> credited = new HashMap<>();
        private final Map<Integer, Http2Stream> clients = new HashMap<>();

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
            int opened = pair.opened.size();
            switch (random.nextInt(6)) {
                case 0 -> open();
                case 1, 2 -> {
                    if (opened > 0) {
                        send(pair.opened.get(random.nextInt(opened)), random.nextInt(2500));
                    }
                }
                case 3, 4 -> credit();
                default -> {
                    if (opened > 0 && random.nextInt(3) == 0) {
                        pair.opened.get(random.nextInt(opened)).reset(ErrorCode.CANCEL);
                    }
                }
            }
            pair.pump();
        }

        private void open() {
            Http2Stream stream = pair.open(true);
            assertTrue(stream != null || clients.size() >= MAX_STREAMS);
            if (stream != null) {
                clients.put(stream.id(), stream);
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
            if (!clients.isEmpty()) {
                Integer[] ids = clients.keySet().toArray(new Integer[0]);
                creditAll(ids[random.nextInt(ids.length)]);
            }
        }

        private void creditAll(int id) {
            int uncredited = received().getOrDefault(id, 0) - credited.getOrDefault(id, 0);
            if (uncredited > 0 && !clients.get(id).isClosed()) {
                clients.get(id).consumeBytes(uncredited);
                credited.merge(id, uncredited, Integer::sum);
            }
        }

        private Map<Integer, Integer> received() {
            Map<Integer, Integer> received = new HashMap<>();
            pair.order.forEach(piece -> received.merge(piece[0], piece[1], Integer::sum));
            return received;
        }

        void assertWithinWindows() {
            received()
                    .forEach(
                            (id, bytes) -> {
                                assertTrue(bytes <= sent.get(id), "more came than was sent");
                                assertTrue(
                                        bytes - credited.getOrDefault(id, 0) <= WINDOW,
                                        "more came than the window");
                            });
        }

        void takeAll() {
            for (int round = 0; round < 200; round++) {
                clients.keySet().forEach(this::creditAll);
                pair.pump();
            }
        }

        void assertAllArrived() {
            Map<Integer, Integer> received = received();
            for (Http2Stream stream : pair.opened) {
                if (!stream.isClosed()) {
                    int id = stream.id();
                    assertEquals(0, stream.pendingBytes(), "bytes left behind");
                    assertEquals(sent.getOrDefault(id, 0), received.getOrDefault(id, 0));
                }
            }
        }

        void assertNothingStaysOpenAfterResets() {
            pair.opened.forEach(stream -> stream.reset(ErrorCode.CANCEL));
            pair.pump();
            assertEquals(0, pair.client.openStreamCount());
            assertEquals(0, pair.server.openStreamCount());
        }
    }

    @Property(tries = 300, seed = "42")
    void bytesAndStreamsAddUp(@ForAll long seed) {
        Conversation conversation = new Conversation(seed);
        for (int step = 0; step < 120; step++) {
            conversation.step();
            conversation.assertWithinWindows();
        }
        conversation.takeAll();
        conversation.assertAllArrived();
        conversation.assertNothingStaysOpenAfterResets();
    }
}
