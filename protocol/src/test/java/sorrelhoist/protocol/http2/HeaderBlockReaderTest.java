package sorrelhoist.protocol.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.hpack.HpackEncoder;

class HeaderBlockReaderTest {
    private static final int MAX_BYTES = 200;
    private final HeaderBlockReader reader = new HeaderBlockReader(MAX_BYTES);

    private static ByteBuf encoded(Headers headers) {
        ByteBuf block = Unpooled.buffer();
        new HpackEncoder().encode(headers, block);
        return block;
    }

    @Test
    void fragmentsAreJoinedToOneBlock() throws Http2Exception {
        Headers headers = new Headers().add(":method", "GET").add("field", "some value");
        ByteBuf block = encoded(headers);
        reader.open(block.readSlice(3), true);
        assertEquals(3, reader.bufferedBytes());
        reader.append(block);
        assertTrue(reader.openBlockEndsStream());
        assertEquals(headers, reader.close());
        assertEquals(0, reader.bufferedBytes());
    }

    @Test
    void oversizedBlockIsAConnectionError() {
        reader.open(Unpooled.buffer().writeZero(MAX_BYTES), false);
        Http2Exception e =
                assertThrows(
                        Http2Exception.class, () -> reader.append(Unpooled.buffer().writeZero(1)));
        assertEquals(ErrorCode.ENHANCE_YOUR_CALM, e.code());
        reader.release();
        assertEquals(0, reader.bufferedBytes());
    }

    @Test
    void aBlockThatCannotBeDecodedIsACompressionError() {
        Http2Exception e =
                assertThrows(
                        Http2Exception.class,
                        () -> reader.decode(Unpooled.buffer().writeByte(0x80)));
        assertEquals(ErrorCode.COMPRESSION_ERROR, e.code());
        assertEquals(0, e.stream());
    }
}
