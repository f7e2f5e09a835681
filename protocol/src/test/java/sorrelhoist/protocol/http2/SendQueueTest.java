package sorrelhoist.protocol.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import org.junit.jupiter.api.Test;

class SendQueueTest {
    private final SendQueue queue = new SendQueue();

    private static ByteBuf bytes(int... values) {
        ByteBuf buffer = Unpooled.buffer();
        for (int value : values) {
            buffer.writeByte(value);
        }
        return buffer;
    }

    private ByteBuf poll(int maxBytes) {
        return queue.poll(UnpooledByteBufAllocator.DEFAULT, maxBytes);
    }

    @Test
    void payloadsAreSplitAndMergedToTheRequestedSize() {
        queue.add(bytes(1, 2, 3));
        queue.add(bytes(4));
        queue.add(bytes(5, 6));
        assertEquals(bytes(1, 2), poll(2));
        assertEquals(bytes(3, 4, 5), poll(3));
        assertEquals(1, queue.bytes());
        assertEquals(bytes(6), poll(10));
        assertTrue(queue.isEmpty());
    }

    @Test
    void emptyBufferIsASeparatePayload() {
        queue.add(Unpooled.EMPTY_BUFFER);
        assertFalse(queue.isEmpty());
        assertEquals(0, poll(10).readableBytes());
        assertTrue(queue.isEmpty());
    }

    @Test
    void drainingToTheLowWaterMarkIsReportedOnce() {
        queue.add(Unpooled.wrappedBuffer(new byte[SendQueue.LOW_WATER_MARK + 1]));
        assertFalse(queue.fellBelowLowWaterMark());
        poll(1).release();
        assertTrue(queue.fellBelowLowWaterMark());
        assertFalse(queue.fellBelowLowWaterMark());
    }
}
