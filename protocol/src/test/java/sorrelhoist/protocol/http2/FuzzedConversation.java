package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.zip.CRC32;
import java.util.zip.Checksum;
import sorrelhoist.protocol.grpc.GrpcServer;
import sorrelhoist.protocol.grpc.ServerCall;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.grpc.StatusCode;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.hpack.HpackEncoder;
import sorrelhoist.protocol.inference.InferRequest;
import sorrelhoist.protocol.protobuf.ProtoException;

/**
 * Feeds a server connection and its gRPC server with a conversation that is randomly damaged,
 * depending on a seed.
 */
public final class FuzzedConversation {
    private static final int MAX_BUFFERED_BYTES = 64 << 10;
    private final SplittableRandom random;

    /** Creates the generator of one input from its seed. */
    public FuzzedConversation(long seed) {
        random = new SplittableRandom(seed);
    }

    private static ByteBuf frame(int type, int flags, int stream, ByteBuf body) {
        return Unpooled.buffer()
                .writeMedium(body.readableBytes())
                .writeByte(type)
                .writeByte(flags)
                .writeInt(stream)
                .writeBytes(body);
    }

    private List<ByteBuf> conversation() {
        HpackEncoder encoder = new HpackEncoder();
        List<ByteBuf> frames = new ArrayList<>();
        frames.add(Unpooled.copiedBuffer(Frames.PREFACE, StandardCharsets.US_ASCII));
        frames.add(settings());
        int calls = 1 + random.nextInt(6);
        for (int i = 0; i < calls; i++) {
            int streamId = 1 + 2 * i;
            addHeaders(encoder, streamId, frames);
            frames.add(requestMessage(streamId));
            frames.add(randomFrame(streamId));
        }
        return frames;
    }

    private ByteBuf settings() {
        int identifier = 1 + random.nextInt(6);
        int value = random.nextInt(4) == 0 ? random.nextInt() : 1 << random.nextInt(24);
        ByteBuf body = Unpooled.buffer().writeShort(identifier).writeInt(value);
        return frame(Frames.SETTINGS, 0, 0, body);
    }

    private void addHeaders(HpackEncoder encoder, int streamId, List<ByteBuf> frames) {
        Headers headers =
                new Headers()
                        .add(":method", "POST")
                        .add(":scheme", "http")
                        .add(":path", "/s/m")
                        .add("content-type", "application/grpc")
                        .add("x-" + random.nextInt(5), "v".repeat(random.nextInt(200)));
        ByteBuf block = Unpooled.buffer();
        encoder.encode(headers, block);
        if (random.nextInt(4) > 0) {
            frames.add(frame(Frames.HEADERS, Frames.END_HEADERS, streamId, block));
            return;
        }
        int cut = random.nextInt(block.readableBytes());
        frames.add(frame(Frames.HEADERS, 0, streamId, block.readSlice(cut)));
        frames.add(frame(Frames.CONTINUATION, Frames.END_HEADERS, streamId, block));
    }

    private static ByteBuf requestMessage(int streamId) {
        byte[] message =
                new InferRequest("m", "", "id", Map.of(), List.of(), List.of()).toByteArray();
        ByteBuf body = Unpooled.buffer().writeByte(0).writeInt(message.length).writeBytes(message);
        return frame(Frames.DATA, Frames.END_STREAM, streamId, body);
    }

    private ByteBuf randomFrame(int streamId) {
        ByteBuf body = Unpooled.buffer();
        return switch (random.nextInt(5)) {
            case 0 -> frame(Frames.RST_STREAM, 0, streamId, body.writeInt(8));
            case 1 -> frame(Frames.PING, random.nextInt(2), 0, body.writeLong(7));
            case 2 -> {
                int updated = random.nextInt(2) * streamId;
                yield frame(Frames.WINDOW_UPDATE, 0, updated, body.writeInt(random.nextInt()));
            }
            case 3 -> frame(Frames.GOAWAY, 0, 0, body.writeInt(0).writeInt(0));
            default -> {
                int type = random.nextInt(256);
                int flags = random.nextInt(256);
                int anyStream = random.nextInt(8);
                yield frame(type, flags, anyStream, body.writeZero(random.nextInt(40)));
            }
        };
    }

    private byte[] damaged() {
        List<ByteBuf> frames = conversation();
        for (int i = random.nextInt(3); i > 0 && frames.size() > 3; i--) {
            damageOrder(frames);
        }
        ByteBuf all = Unpooled.buffer();
        frames.forEach(f -> all.writeBytes(f, f.readerIndex(), f.readableBytes()));
        int damagedBytes = random.nextInt(6);
        for (int i = 0; i < damagedBytes; i++) {
            int index = random.nextInt(all.readableBytes());
            boolean replace = random.nextBoolean();
            int value = replace ? random.nextInt(256) : all.getByte(index) ^ 1 << random.nextInt(8);
            all.setByte(index, value);
        }
        boolean cut = random.nextInt(8) == 0;
        int size = cut ? random.nextInt(all.readableBytes()) : all.readableBytes();
        byte[] bytes = new byte[size];
        all.getBytes(0, bytes);
        return bytes;
    }

    /** Removes, duplicates or moves one of the frames after the preface. */
    private void damageOrder(List<ByteBuf> frames) {
        int index = 1 + random.nextInt(frames.size() - 1);
        switch (random.nextInt(3)) {
            case 0 -> frames.remove(index);
            case 1 -> frames.add(index, frames.get(1 + random.nextInt(frames.size() - 1)).copy());
            default -> frames.add(1 + random.nextInt(frames.size() - 1), frames.remove(index));
        }
    }

    /** Feeds one damaged conversation to a connection. {@return its size in bytes} */
    public int feed() {
        return feed(new CRC32());
    }

    /**
     * Feeds one damaged conversation to a connection and adds the bytes that the connection sends
     * to a checksum. {@return the size of the conversation in bytes}
     */
    int feed(Checksum sent) {
        GrpcServer server = new GrpcServer(10_000).addMethod("/s/m", EchoListener::new);
        Http2Connection connection =
                Http2Connection.server(
                        Http2Limits.SERVER, server, new Http2Connection.Listener() {});
        EmbeddedChannel channel = new EmbeddedChannel(connection);
        byte[] bytes = damaged();
        writeInPieces(bytes, connection, channel);
        channel.checkException();
        channel.close();
        channel.runPendingTasks();
        if (connection.openStreamCount() != 0) {
            throw new AssertionError(
                    connection.openStreamCount()
                            + " streams are still open after the channel was closed");
        }
        channel.releaseInbound();
        Pair.addSentBytes(channel, sent);
        if (connection.internalError() != null) {
            throw new AssertionError("internal error", connection.internalError());
        }
        return bytes.length;
    }

    private void writeInPieces(byte[] bytes, Http2Connection connection, EmbeddedChannel channel) {
        int written = 0;
        while (written < bytes.length && channel.isOpen()) {
            int maxPiece = random.nextBoolean() ? 20 : 5000;
            int piece = Math.min(bytes.length - written, 1 + random.nextInt(maxPiece));
            channel.writeInbound(Unpooled.copiedBuffer(bytes, written, piece));
            channel.runPendingTasks();
            written += piece;
            if (connection.bufferedBytes() > MAX_BUFFERED_BYTES) {
                throw new AssertionError(
                        "the connection buffers " + connection.bufferedBytes() + " bytes");
            }
        }
    }

    /** Echoes each valid message. */
    private static final class EchoListener implements ServerCall.Listener {
        private final ServerCall call;

        EchoListener(ServerCall call) {
            this.call = call;
        }

        @Override
        public void onMessage(byte[] message) {
            try {
                InferRequest.parse(message);
                call.send(message);
            } catch (ProtoException e) {
                call.close(new Status(StatusCode.INVALID_ARGUMENT, e.getMessage()), null);
            }
        }

        @Override
        public void onHalfClose() {
            call.close(Status.OK, null);
        }
    }
}
