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

    @Property(tries = 300, seed = "42")
    void bytesAndStreamsAddUp(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Pair p =
                new Pair(
                        Http2Limits.SERVER.withMaxStreams(20),
                        Http2Limits.CLIENT.withStreamWindow(WINDOW),
                        random.nextInt(3) * 50);
        p.autoCredit = false;
        Map<Integer, Integer> sent = new HashMap<>();
        Map<Integer, Integer> credited = new HashMap<>();
        Map<Integer, Http2Stream> clients = new HashMap<>();
        for (int step = 0; step < 120; step++) {
            int most = p.opened.size();
            switch (random.nextInt(6)) {
                case 0 -> {
                    Http2Stream s = p.open(true);
                    assertTrue(s != null || clients.size() >= 20);
                    if (s != null) {
                        clients.put(s.id(), s);
                    }
                }
                case 1, 2 -> {
                    if (most > 0) {
                        Http2Stream s = p.opened.get(random.nextInt(most));
                        int size = random.nextInt(2500);
                        if (!s.isClosed()) {
                            if (!sent.containsKey(s.id())) {
                                s.writeHeaders(new Headers().add(":status", "200"), false);
                            }
                            s.writeData(Unpooled.wrappedBuffer(new byte[size]), false);
                            sent.merge(s.id(), size, Integer::sum);
                        }
                    }
                }
                case 3, 4 -> credit(p, clients, credited, random);
                default -> {
                    if (most > 0 && random.nextInt(3) == 0) {
                        Http2Stream s = p.opened.get(random.nextInt(most));
                        s.reset(ErrorCode.CANCEL);
                    }
                }
            }
            p.pump();
            Map<Integer, Integer> got = got(p);
            got.forEach(
                    (id, bytes) -> {
                        assertTrue(bytes <= sent.get(id), "more came than was sent");
                        assertTrue(
                                bytes - credited.getOrDefault(id, 0) <= WINDOW,
                                "more came than the window");
                    });
        }
        for (int round = 0; round < 200; round++) {
            clients.keySet().forEach(id -> creditAll(p, clients, credited, id));
            p.pump();
        }
        Map<Integer, Integer> got = got(p);
        p.opened.stream()
                .filter(s -> !s.isClosed())
                .forEach(
                        s -> {
                            assertEquals(0, s.pendingBytes(), "bytes left behind");
                            assertEquals(sent.getOrDefault(s.id(), 0), got.getOrDefault(s.id(), 0));
                        });
        p.opened.forEach(s -> s.reset(ErrorCode.CANCEL));
        p.pump();
        assertEquals(0, p.client.openStreamCount());
        assertEquals(0, p.server.openStreamCount());
    }

    private static Map<Integer, Integer> got(Pair p) {
        Map<Integer, Integer> got = new HashMap<>();
        p.order.forEach(piece -> got.merge(piece[0], piece[1], Integer::sum));
        return got;
    }

    private static void credit(
            Pair p,
            Map<Integer, Http2Stream> clients,
            Map<Integer, Integer> credited,
            SplittableRandom random) {
        if (!clients.isEmpty()) {
            Integer[] ids = clients.keySet().toArray(new Integer[0]);
            creditAll(p, clients, credited, ids[random.nextInt(ids.length)]);
        }
    }

    private static void creditAll(
            Pair p, Map<Integer, Http2Stream> clients, Map<Integer, Integer> credited, int id) {
        int owed = got(p).getOrDefault(id, 0) - credited.getOrDefault(id, 0);
        if (owed > 0 && !clients.get(id).isClosed()) {
            clients.get(id).consumeBytes(owed);
            credited.merge(id, owed, Integer::sum);
        }
    }
}
