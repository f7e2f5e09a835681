package sorrelhoist.protocol.grpc;

import io.netty.buffer.ByteBuf;

/** Extracts gRPC's length-prefixed messages from DATA frames. */
final class MessageDeframer {
    /** Receives messages in the order of their arrival. */
    interface Listener {
        /**
         * Called when a message is complete.
         *
         * @param message the message
         * @param wireBytes size on the wire in bytes, including the prefix
         */
        void onMessage(byte[] message, int wireBytes);
    }

    private final int maxMessageBytes;
    private final byte[] prefix = new byte[MessageFramer.PREFIX_BYTES];
    private int prefixBytes;
    private byte[] message;
    private int messageBytes;

    MessageDeframer(int maxMessageBytes) {
        this.maxMessageBytes = maxMessageBytes;
    }

    /**
     * Reads the whole payload of a DATA frame. {@return the error if the data is invalid, or null}
     */
    Status read(ByteBuf in, Listener listener) {
        while (in.isReadable() || isMessageComplete()) {
            if (message == null) {
                if (!readPrefix(in)) {
                    return null;
                }
                Status rejection = beginMessage();
                if (rejection != null) {
                    return rejection;
                }
            }
            int part = Math.min(message.length - messageBytes, in.readableBytes());
            in.readBytes(message, messageBytes, part);
            messageBytes += part;
            if (!isMessageComplete()) {
                return null;
            }
            deliver(listener);
        }
        return null;
    }

    private boolean isMessageComplete() {
        return message != null && messageBytes == message.length;
    }

    private boolean readPrefix(ByteBuf in) {
        int part = Math.min(prefix.length - prefixBytes, in.readableBytes());
        in.readBytes(prefix, prefixBytes, part);
        prefixBytes += part;
        return prefixBytes == prefix.length;
    }

    private Status beginMessage() {
        if (prefix[0] != MessageFramer.NOT_COMPRESSED) {
            return new Status(
                    StatusCode.UNIMPLEMENTED,
                    "compressed messages are not taken: send identity encoding");
        }
        long length =
                (prefix[1] & 0xFFL) << 24
                        | (prefix[2] & 0xFF) << 16
                        | (prefix[3] & 0xFF) << 8
                        | prefix[4] & 0xFF;
        if (length > maxMessageBytes) {
            return new Status(
                    StatusCode.RESOURCE_EXHAUSTED,
                    "a message of " + length + " bytes: send at most " + maxMessageBytes);
        }
        message = new byte[(int) length];
        messageBytes = 0;
        return null;
    }

    private void deliver(Listener listener) {
        byte[] complete = message;
        message = null;
        prefixBytes = 0;
        listener.onMessage(complete, prefix.length + complete.length);
    }

    /** {@return the received bytes of an incomplete message, including its prefix} */
    int partialBytes() {
        return prefixBytes + (message == null ? 0 : messageBytes);
    }

    /** {@return whether part of an incomplete message has been received} */
    boolean isPartial() {
        return prefixBytes > 0;
    }
}
