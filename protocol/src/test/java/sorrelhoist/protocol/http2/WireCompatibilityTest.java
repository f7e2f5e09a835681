package sorrelhoist.protocol.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.zip.CRC32;
import org.junit.jupiter.api.Test;
import sorrelhoist.protocol.hpack.Headers;

/**
 * Guards against changes of the bytes that a connection sends. The checksums were computed with the
 * original implementation of the connection as a single class, before it was split into parts.
 */
class WireCompatibilityTest {
    private static final int FUZZED_CONVERSATIONS = 1000;
    private static final int RANDOM_CONVERSATIONS = 100;

    @Test
    void answersToDamagedConversationsHaveUnchangedBytes() {
        CRC32 sent = new CRC32();
        for (long seed = 0; seed < FUZZED_CONVERSATIONS; seed++) {
            new FuzzedConversation(seed).feed(sent);
        }
        assertEquals("b36e0125", Long.toHexString(sent.getValue()));
    }

    @Test
    void conversationsOfTwoConnectionsHaveUnchangedBytesAndEvents() {
        CRC32 sent = new CRC32();
        for (long seed = 0; seed < RANDOM_CONVERSATIONS; seed++) {
            Pair pair = converse(seed);
            sent.update(
                    Long.toHexString(pair.wireBytes.getValue()).getBytes(StandardCharsets.UTF_8));
            sent.update(String.join("\n", pair.events).getBytes(StandardCharsets.UTF_8));
        }
        assertEquals("213b54c9", Long.toHexString(sent.getValue()));
    }

    private static Pair converse(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Pair pair =
                new Pair(
                        Http2Limits.SERVER.withMaxStreams(20),
                        Http2Limits.CLIENT.withStreamWindow(3000),
                        0);
        pair.autoCredit = random.nextBoolean();
        for (int step = 0; step < 100; step++) {
            Http2Stream stream =
                    pair.serverStreams.isEmpty()
                            ? null
                            : pair.serverStreams.get(random.nextInt(pair.serverStreams.size()));
            int action = random.nextInt(40);
            if (action < 10) {
                Http2Stream opened = pair.open(random.nextBoolean());
                if (opened != null) {
                    opened.writeData(
                            Unpooled.wrappedBuffer(new byte[random.nextInt(5000)]),
                            random.nextBoolean());
                }
            } else if (action == 39) {
                endConnection(pair, random.nextInt(30));
            } else if (stream != null) {
                act(stream, action, random);
            }
            if (random.nextInt(3) > 0) {
                pair.exchangeAll();
            }
        }
        pair.exchangeAll();
        return pair;
    }

    private static void act(Http2Stream stream, int action, SplittableRandom random) {
        if (action < 16) {
            stream.writeHeaders(
                    new Headers()
                            .add(":status", "200")
                            .add("x", "v".repeat(random.nextInt(20_000) / 40)),
                    false);
        } else if (action < 30) {
            stream.writeData(
                    Unpooled.wrappedBuffer(new byte[random.nextInt(9000)]), random.nextInt(4) == 0);
        } else if (action < 34) {
            stream.writeHeaders(new Headers().add("grpc-status", "0"), true);
        } else if (action < 37) {
            stream.consumeBytes(random.nextInt(3000));
        } else {
            stream.reset(ErrorCode.CANCEL);
        }
    }

    private static void endConnection(Pair pair, int action) {
        switch (action) {
            case 0 -> pair.server.shutdownGracefully();
            case 1 -> pair.client.shutdownGracefully();
            case 2 -> pair.server.close(ErrorCode.NO_ERROR, "server ends");
            case 3 -> pair.client.close(ErrorCode.NO_ERROR, "client ends");
            default -> {}
        }
    }
}
