package sorrelhoist.protocol.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class FrameDecoderTest {
    private final FrameDecoder decoder = new FrameDecoder(true);
    private final ChannelFixture.FrameLog log = new ChannelFixture.FrameLog();

    private void receive(ByteBuf bytes) throws Http2Exception {
        ByteBuf in = decoder.join(UnpooledByteBufAllocator.DEFAULT, bytes);
        while (decoder.decodeNext(in, log)) {
            // The log records the frame.
        }
        decoder.keep(in);
    }

    @Test
    void bytesAreKeptUntilAFrameIsComplete() throws Http2Exception {
        receive(Unpooled.copiedBuffer(Frames.PREFACE, StandardCharsets.US_ASCII));
        ByteBuf ping = Frames.ping(UnpooledByteBufAllocator.DEFAULT, false, 7);
        while (ping.readableBytes() > 1) {
            receive(ping.readBytes(1));
            assertFalse(decoder.isComplete());
        }
        assertEquals(16, decoder.bufferedBytes());
        receive(ping.readBytes(1));
        assertTrue(decoder.isComplete());
        assertEquals(0, decoder.bufferedBytes());
        assertEquals(List.of("PING false"), log.frames);
    }

    @Test
    void anIncompletePrefaceIsKept() throws Http2Exception {
        receive(Unpooled.copiedBuffer("PRI * HT", StandardCharsets.US_ASCII));
        assertFalse(decoder.isComplete());
        assertEquals(8, decoder.bufferedBytes());
    }

    @Test
    void invalidPrefaceIsRejectedAtItsFirstWrongByte() {
        Http2Exception e =
                assertThrows(
                        Http2Exception.class,
                        () -> receive(Unpooled.copiedBuffer("PRY", StandardCharsets.US_ASCII)));
        assertEquals(ErrorCode.PROTOCOL_ERROR, e.code());
    }
}
