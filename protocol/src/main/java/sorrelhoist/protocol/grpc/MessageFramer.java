package sorrelhoist.protocol.grpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;

/** Adds gRPC's prefix to messages: a compression flag of one byte and a length of four bytes. */
final class MessageFramer {
    static final int PREFIX_BYTES = 5;
    static final int NOT_COMPRESSED = 0;

    private MessageFramer() {}

    /** {@return a buffer with the prefix and the message, owned by the caller} */
    static ByteBuf frame(byte[] message) {
        return PooledByteBufAllocator.DEFAULT
                .buffer(PREFIX_BYTES + message.length)
                .writeByte(NOT_COMPRESSED)
                .writeInt(message.length)
                .writeBytes(message);
    }
}
