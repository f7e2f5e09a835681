package sorrelhoist.protocol.grpc;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests timeouts, status messages and message framing. */
class GrpcPartsTest {
    @Test
    void timeoutsAreReadAndWrittenInEveryUnit() {
        assertEquals(GrpcTimeout.NONE, GrpcTimeout.parse(null));
        assertEquals(4_000_000, GrpcTimeout.parse("4S"));
        assertEquals(250_000, GrpcTimeout.parse("250m"));
        assertEquals(7, GrpcTimeout.parse("7u"));
        assertEquals(1, GrpcTimeout.parse("1n"));
        assertEquals(60_000_000, GrpcTimeout.parse("1M"));
        assertEquals(3_600_000_000L, GrpcTimeout.parse("1H"));
        for (String bad : new String[] {"", "S", "4", "4x", "-4S", "123456789S", "4 S"}) {
            assertThrows(IllegalArgumentException.class, () -> GrpcTimeout.parse(bad), bad);
        }
        for (long micros : new long[] {1, 99_999_999, 100_000_000, 86_400_000_000L}) {
            long read = GrpcTimeout.parse(GrpcTimeout.format(micros));
            assertEquals(micros, read, micros / 1000.0);
        }
    }

    @Test
    void statusMessagesAreDecodedAsEncoded() {
        String text = "100 % — größer\nals \"gut\"";
        String coded = new Status(StatusCode.INTERNAL, text).encodedMessage();
        assertEquals(text, Status.decodeMessage(coded));
        assertEquals(coded, coded.replaceAll("[^ -~]", ""));
        assertEquals("50%", Status.decodeMessage("50%"));
        assertEquals(StatusCode.UNKNOWN, StatusCode.parse("x"));
        assertEquals(StatusCode.UNAVAILABLE, StatusCode.parse("14"));
    }

    @Test
    void messagesAreExtractedFromPiecesOfAnySize() {
        ByteBuf wire = Unpooled.buffer();
        byte[][] messages = {{}, {1}, new byte[300], {}};
        for (byte[] m : messages) {
            wire.writeByte(0).writeInt(m.length).writeBytes(m);
        }
        for (int piece = 1; piece <= wire.readableBytes(); piece++) {
            MessageDeframer deframer = new MessageDeframer(1000);
            List<byte[]> got = new ArrayList<>();
            ByteBuf in = wire.duplicate();
            while (in.isReadable()) {
                assertNull(
                        deframer.read(
                                in.readSlice(Math.min(piece, in.readableBytes())),
                                (m, size) -> got.add(m)));
            }
            assertEquals(4, got.size());
            assertArrayEquals(messages[2], got.get(2));
            assertEquals(0, deframer.partialBytes());
        }
    }

    @Test
    void oversizedAndCompressedMessagesAreRejected() {
        MessageDeframer deframer = new MessageDeframer(1000);
        assertNotNull(deframer.read(Unpooled.buffer().writeByte(0).writeInt(1001), (m, s) -> {}));
        assertEquals(
                StatusCode.UNIMPLEMENTED,
                new MessageDeframer(1000)
                        .read(Unpooled.buffer().writeByte(1).writeInt(1), (m, s) -> {})
                        .code());
        assertEquals(
                StatusCode.RESOURCE_EXHAUSTED,
                new MessageDeframer(1000)
                        .read(Unpooled.buffer().writeByte(0).writeInt(-1), (m, s) -> {})
                        .code());
    }
}
