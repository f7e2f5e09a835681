package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.zip.CRC32;
import java.util.zip.Checksum;
import sorrelhoist.protocol.grpc.GrpcServer;
import sorrelhoist.protocol.grpc.ServerCall;
import sorrelhoist.protocol.grpc.Status;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.hpack.HpackEncoder;
import sorrelhoist.protocol.inference.InferRequest;
import sorrelhoist.protocol.protobuf.ProtoException;

/** Feeds a serving connection, gRPC and all, with conversations that were damaged by a seed. */
public final class Fuzzed {
    private static final int MOST_HELD = 64 << 10;
    private final SplittableRandom random;

    /** Makes one input's worth of damage. */
    public Fuzzed(long seed) {
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
        frames.add(
                frame(
                        Frames.SETTINGS,
                        0,
                        0,
                        Unpooled.buffer()
                                .writeShort(1 + random.nextInt(6))
                                .writeInt(
                                        random.nextInt(4) == 0
                                                ? random.nextInt()
                                                : 1 << random.nextInt(24))));
        int calls = 1 + random.nextInt(6);
        for (int i = 0; i < calls; i++) {
            int id = 1 + 2 * i;
            ByteBuf block = Unpooled.buffer();
            encoder.encode(
                    new Headers()
                            .add(":method", "POST")
                            .add(":scheme", "http")
                            .add(":path", "/s/m")
                            .add("content-type", "application/grpc")
                            .add("x-" + random.nextInt(5), "v".repeat(random.nextInt(200))),
                    block);
            boolean split = random.nextInt(4) == 0;
            int cut = split ? random.nextInt(block.readableBytes()) : block.readableBytes();
            frames.add(
                    frame(
                            Frames.HEADERS,
                            split ? 0 : Frames.END_HEADERS,
                            id,
                            block.readSlice(cut)));
            if (split) {
                frames.add(frame(Frames.CONTINUATION, Frames.END_HEADERS, id, block));
            }
            byte[] message =
                    new InferRequest("m", "", "id", java.util.Map.of(), List.of(), List.of())
                            .toByteArray();
            frames.add(
                    frame(
                            Frames.DATA,
                            Frames.END_STREAM,
                            id,
                            Unpooled.buffer()
                                    .writeByte(0)
                                    .writeInt(message.length)
                                    .writeBytes(message)));
            switch (random.nextInt(5)) {
                case 0 ->
                        frames.add(frame(Frames.RST_STREAM, 0, id, Unpooled.buffer().writeInt(8)));
                case 1 ->
                        frames.add(
                                frame(
                                        Frames.PING,
                                        random.nextInt(2),
                                        0,
                                        Unpooled.buffer().writeLong(7)));
                case 2 ->
                        frames.add(
                                frame(
                                        Frames.WINDOW_UPDATE,
                                        0,
                                        random.nextInt(2) * id,
                                        Unpooled.buffer().writeInt(random.nextInt())));
                case 3 ->
                        frames.add(
                                frame(
                                        Frames.GOAWAY,
                                        0,
                                        0,
                                        Unpooled.buffer().writeInt(0).writeInt(0)));
                default ->
                        frames.add(
                                frame(
                                        random.nextInt(256),
                                        random.nextInt(256),
                                        random.nextInt(8),
                                        Unpooled.buffer().writeZero(random.nextInt(40))));
            }
        }
        return frames;
    }

    private byte[] damaged() {
        List<ByteBuf> frames = conversation();
        for (int i = random.nextInt(3); i > 0 && frames.size() > 3; i--) {
            int at = 1 + random.nextInt(frames.size() - 1);
            switch (random.nextInt(3)) {
                case 0 -> frames.remove(at);
                case 1 -> frames.add(at, frames.get(1 + random.nextInt(frames.size() - 1)).copy());
                default -> frames.add(1 + random.nextInt(frames.size() - 1), frames.remove(at));
            }
        }
        ByteBuf all = Unpooled.buffer();
        frames.forEach(f -> all.writeBytes(f, f.readerIndex(), f.readableBytes()));
        int hits = random.nextInt(6);
        for (int i = 0; i < hits; i++) {
            int at = random.nextInt(all.readableBytes());
            all.setByte(
                    at,
                    random.nextBoolean()
                            ? random.nextInt(256)
                            : all.getByte(at) ^ 1 << random.nextInt(8));
        }
        byte[] bytes =
                new byte
                        [random.nextInt(8) == 0
                                ? random.nextInt(all.readableBytes())
                                : all.readableBytes()];
        all.getBytes(0, bytes);
        return bytes;
    }

    /** Feeds one damaged conversation. {@return bytes fed} */
    public int feed() {
        return feed(new CRC32());
    }

    /**
     * Feeds one damaged conversation, adding what is sent in answer to a checksum. {@return bytes
     * fed}
     */
    int feed(Checksum sent) {
        GrpcServer server =
                new GrpcServer(10_000)
                        .addMethod(
                                "/s/m",
                                call ->
                                        new ServerCall.Listener() {
                                            @Override
                                            public void onMessage(byte[] message) {
                                                try {
                                                    InferRequest.parse(message);
                                                    call.send(message);
                                                } catch (ProtoException e) {
                                                    call.close(
                                                            new Status(
                                                                    sorrelhoist.protocol.grpc
                                                                            .StatusCode
                                                                            .INVALID_ARGUMENT,
                                                                    e.getMessage()),
                                                            null);
                                                }
                                            }

                                            @Override
                                            public void onHalfClose() {
                                                call.close(Status.OK, null);
                                            }
                                        });
        Http2Connection connection =
                Http2Connection.server(
                        Http2Limits.SERVER, server, new Http2Connection.Listener() {});
        EmbeddedChannel channel = new EmbeddedChannel(connection);
        byte[] bytes = damaged();
        int at = 0;
        while (at < bytes.length && channel.isOpen()) {
            int part =
                    Math.min(
                            bytes.length - at,
                            1 + random.nextInt(random.nextBoolean() ? 20 : 5000));
            channel.writeInbound(Unpooled.copiedBuffer(bytes, at, part));
            channel.runPendingTasks();
            at += part;
            if (connection.bufferedBytes() > MOST_HELD) {
                throw new AssertionError("holds " + connection.bufferedBytes() + " bytes");
            }
        }
        channel.checkException();
        channel.close();
        channel.runPendingTasks();
        if (connection.openStreamCount() != 0) {
            throw new AssertionError(connection.openStreamCount() + " streams left");
        }
        channel.releaseInbound();
        Pair.drain(channel, sent);
        if (connection.internalError() != null) {
            throw new AssertionError("internal error", connection.internalError());
        }
        return bytes.length;
    }
}
