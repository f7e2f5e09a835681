package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.ArrayDeque;

/** The data of one stream that waits for flow control or for the socket. */
final class SendQueue {
    /** Queue size in bytes at or below which the stream's user may write again. */
    static final int LOW_WATER_MARK = 8 << 10;

    private final ArrayDeque<ByteBuf> buffers = new ArrayDeque<>(2);
    private int bytes;
    private boolean aboveLowWaterMark;

    /** {@return the number of queued bytes} */
    int bytes() {
        return bytes;
    }

    /**
     * {@return whether the queue is empty; an empty buffer that ends the stream counts as an
     * element}
     */
    boolean isEmpty() {
        return buffers.isEmpty();
    }

    /** Appends data to the queue and takes ownership of it. */
    void add(ByteBuf data) {
        bytes += data.readableBytes();
        aboveLowWaterMark |= bytes > LOW_WATER_MARK;
        buffers.add(data);
    }

    /**
     * Removes the payload of the next frame from the queue, which must not be empty.
     *
     * @param allocator allocates payloads that are copied from several buffers
     * @param maxBytes maximum size of the payload
     * @return the payload, owned by the caller; shorter than {@code maxBytes} only if the queue has
     *     fewer bytes
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

    /**
     * {@return whether the queue has fallen to its low-water mark since this method last returned
     * true; resets the state}
     */
    boolean fellBelowLowWaterMark() {
        boolean fell = aboveLowWaterMark && bytes <= LOW_WATER_MARK;
        aboveLowWaterMark &= !fell;
        return fell;
    }

    /** Releases all queued data. */
    void release() {
        buffers.forEach(ByteBuf::release);
        buffers.clear();
        bytes = 0;
    }
}
