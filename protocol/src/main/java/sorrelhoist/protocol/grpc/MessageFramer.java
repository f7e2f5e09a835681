package sorrelhoist.protocol.grpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;

/** Puts gRPC's prefix before messages: a byte for compression, and the length in four bytes. */
final class MessageFramer {
    static final int PREFIX_BYTES = 5;
    static final int NOT_COMPRESSED = 0;

    private MessageFramer() {}

    /** {@return the message with its prefix} */
    static ByteBuf frame(byte[] message) {
        return PooledByteBufAllocator.DEFAULT
                .buffer(PREFIX_BYTES + message.length)
                .writeByte(NOT_COMPRESSED)
                .writeInt(message.length)
                .writeBytes(message);
    }
}
