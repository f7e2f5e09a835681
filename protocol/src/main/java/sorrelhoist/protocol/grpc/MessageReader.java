package sorrelhoist.protocol.grpc;

import io.netty.buffer.ByteBuf;

/** Cuts gRPC's length-prefixed messages out of data frames. */
final class MessageReader {
    /** Takes messages in their order. */
    interface Sink {
        void message(byte[] message, int wireBytes);
    }

    private static final int PREFIX = 5;
    private final int maxMessage;
    private final byte[] prefix = new byte[PREFIX];
    private int prefixSize;
    private byte[] body;
    private int bodySize;

    MessageReader(int maxMessage) {
        this.maxMessage = maxMessage;
    }

    /** Takes what came. {@return what is wrong with it, or null} */
    Status read(ByteBuf in, Sink sink) {
        while (in.isReadable() || body != null && bodySize == body.length) {
            if (body == null) {
                int part = Math.min(PREFIX - prefixSize, in.readableBytes());
                in.readBytes(prefix, prefixSize, part);
                prefixSize += part;
                if (prefixSize < PREFIX) {
                    return null;
                }
                if (prefix[0] != 0) {
                    return new Status(
                            StatusCode.UNIMPLEMENTED,
                            "compressed messages are not taken: send identity encoding");
                }
                long length =
                        (prefix[1] & 0xFFL) << 24
                                | (prefix[2] & 0xFF) << 16
                                | (prefix[3] & 0xFF) << 8
                                | prefix[4] & 0xFF;
                if (length > maxMessage) {
                    return new Status(
                            StatusCode.RESOURCE_EXHAUSTED,
                            "a message of " + length + " bytes: send at most " + maxMessage);
                }
                body = new byte[(int) length];
                bodySize = 0;
            }
            int part = Math.min(body.length - bodySize, in.readableBytes());
            in.readBytes(body, bodySize, part);
            bodySize += part;
            if (bodySize < body.length) {
                return null;
            }
            byte[] whole = body;
            body = null;
            prefixSize = 0;
            sink.message(whole, PREFIX + whole.length);
        }
        return null;
    }

    /** {@return bytes of a message that is not whole yet} */
    int partialBytes() {
        return prefixSize + (body == null ? 0 : bodySize);
    }

    /** {@return whether a message was begun and is not whole} */
    boolean isPartial() {
        return prefixSize > 0;
    }
}
