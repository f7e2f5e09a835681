package sorrelhoist.protocol.http2;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import sorrelhoist.protocol.hpack.Headers;

/**
 * Benchmarks the transfer of a token's frame between two in-memory connections, including flow
 * control and stream scheduling.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class FrameBench {
    private static final int TOKENS = 100;
    private final FrameReader reader = new FrameReader(Frames.DEFAULT_FRAME_SIZE);
    private final ByteBuf frames = Unpooled.buffer();
    private final Pair pair = new Pair();
    private final Http2Stream client = pair.open(true);
    private long seen;
    private final FrameListener listener =
            new FrameListener() {
                @Override
                public void onData(int stream, ByteBuf payload, int flowBytes, boolean end) {
                    seen += payload.readableBytes();
                }

                @Override
                public void onHeaders(int stream, ByteBuf fragment, boolean end, boolean whole) {
                    seen++;
                }

                @Override
                public void onContinuation(int stream, ByteBuf fragment, boolean whole) {
                    seen++;
                }

                @Override
                public void onPriority(int stream) {
                    seen++;
                }

                @Override
                public void onReset(int stream, ErrorCode code) {
                    seen++;
                }

                @Override
                public void onSettings(ByteBuf pairs) {
                    seen++;
                }

                @Override
                public void onSettingsAck() {
                    seen++;
                }

                @Override
                public void onPing(boolean ack, long content) {
                    seen++;
                }

                @Override
                public void onGoAway(int lastStream, ErrorCode code) {
                    seen++;
                }

                @Override
                public void onWindowUpdate(int stream, int bytes) {
                    seen++;
                }

                @Override
                public void onUnknown(int type) {
                    seen++;
                }
            };

    /** Opens the stream that carries the tokens. */
    public FrameBench() {
        pair.exchangeAll();
        pair.serverStreams.get(0).writeHeaders(new Headers().add(":status", "200"), false);
        pair.exchangeAll();
        for (int i = 0; i < TOKENS; i++) {
            frames.writeMedium(64).writeByte(Frames.DATA).writeByte(0).writeInt(1).writeZero(64);
        }
    }

    /** Parses a hundred DATA frames of 64 bytes from a buffer of 7,300 bytes. */
    @Benchmark
    public long cutFrames() throws Http2Exception {
        ByteBuf in = frames.duplicate();
        while (reader.next(in, listener)) {
            seen++;
        }
        return seen;
    }

    /**
     * Transfers a hundred tokens from one connection to another, through buffers, flow control and
     * listeners.
     */
    @Benchmark
    public int carryTokens() {
        Http2Stream server = pair.serverStreams.get(0);
        for (int i = 0; i < TOKENS; i++) {
            server.writeData(pair.server.allocate(64).writeZero(64), false);
        }
        pair.exchangeAll();
        pair.events.clear();
        pair.receivedPieces.clear();
        return client.id();
    }
}
