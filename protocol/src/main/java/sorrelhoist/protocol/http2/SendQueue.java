package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.ArrayDeque;

/** Data of one stream that waits for windows or for the socket. */
final class SendQueue {
    /** A stream's user may write again when no more bytes than this wait. */
    static final int LOW_WATER_MARK = 8 << 10;

    private final ArrayDeque<ByteBuf> buffers = new ArrayDeque<>(2);
    private int bytes;
    private boolean aboveLowWaterMark;

    /** {@return bytes that wait} */
    int bytes() {
        return bytes;
    }

    /** {@return whether nothing waits, not even an empty buffer that ends the stream} */
    boolean isEmpty() {
        return buffers.isEmpty();
    }

    /** Counts bytes that are to be sent. */
    void add(ByteBuf data) {
        bytes += data.readableBytes();
        aboveLowWaterMark |= bytes > LOW_WATER_MARK;
        buffers.add(data);
    }

    /**
     * Takes the payload of the next frame.
     *
     * @param allocator for a payload that is gathered from several buffers
     * @param maxBytes the most that it may have
     * @return the payload; shorter only where no more bytes wait
     */
    ByteBuf poll(ByteBufAllocator allocator, int maxBytes) {
        int size = Math.min(maxBytes, bytes);
        ByteBuf first = buffers.peek();
        ByteBuf payload;
        if (first.readableBytes() == size) {
            payload = buffers.poll();
        } else if (first.readableBytes() > size) {
            payload = first.readRetainedSlice(size);
        } else {
            payload = gather(allocator, size);
        }
        while (!buffers.isEmpty() && !buffers.peek().isReadable()) {
            buffers.poll().release();
        }
        bytes -= size;
        return payload;
    }

    private ByteBuf gather(ByteBufAllocator allocator, int size) {
        ByteBuf payload = allocator.buffer(size);
        while (payload.readableBytes() < size) {
            ByteBuf next = buffers.peek();
            int part = Math.min(next.readableBytes(), size - payload.readableBytes());
            payload.writeBytes(next, part);
            if (!next.isReadable()) {
                buffers.poll().release();
            }
        }
        return payload;
    }

    /** {@return whether the queue fell to its low-water mark since it was last asked} */
    boolean fellBelowLowWaterMark() {
        boolean fell = aboveLowWaterMark && bytes <= LOW_WATER_MARK;
        aboveLowWaterMark &= !fell;
        return fell;
    }

    /** Drops all that waits. */
    void release() {
        buffers.forEach(ByteBuf::release);
        buffers.clear();
        bytes = 0;
    }
}
