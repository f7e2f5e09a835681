package sorrelhoist.protocol.bench;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.runner.RunnerException;
import sorrelhoist.protocol.engine.DecodeEvent;
import sorrelhoist.protocol.engine.Token;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.hpack.HpackDecoder;
import sorrelhoist.protocol.hpack.HpackEncoder;
import sorrelhoist.protocol.hpack.HpackException;
import sorrelhoist.protocol.inference.InferRequest;
import sorrelhoist.protocol.inference.InferResponse;
import sorrelhoist.protocol.inference.Parameter;
import sorrelhoist.protocol.inference.Tensor;
import sorrelhoist.protocol.protobuf.ProtoException;

/**
 * Benchmarks the codecs: HPACK blocks of a gRPC call, and the messages of a request and of a token.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class CodecBench {
    private final HpackEncoder encoder = new HpackEncoder();
    private final HpackDecoder decoder = new HpackDecoder(4096, 1 << 16);
    private final ByteBuf out = PooledByteBufAllocator.DEFAULT.buffer(1024);
    private final Headers call =
            new Headers()
                    .add(":method", "POST")
                    .add(":scheme", "http")
                    .add(":path", "/inference.GRPCInferenceService/ModelStreamInfer")
                    .add(":authority", "127.0.0.1:4000")
                    .add("content-type", "application/grpc")
                    .add("te", "trailers")
                    .add("user-agent", "bench/1.0")
                    .add("grpc-timeout", "3980000u");
    private final byte[] request =
            new InferRequest(
                            "sorrel",
                            "",
                            "request-1",
                            Map.of(
                                    "max_tokens",
                                    new Parameter(64L),
                                    "session",
                                    new Parameter("session-17")),
                            List.of(
                                    Tensor.text(
                                            InferRequest.TEXT_INPUT,
                                            "where is the pallet for dock seven? ".repeat(40))),
                            List.of())
                    .toByteArray();
    private final byte[] token = new DecodeEvent(new Token(17, "willow17 "), null).toByteArray();
    private ByteBuf block;

    /** Fills the dynamic tables, as on a connection in use. */
    @Setup
    public void fill() throws HpackException {
        for (int i = 0; i < 3; i++) {
            out.clear();
            encoder.encode(call, out);
            decoder.decode(out);
        }
        out.clear();
        encoder.encode(call, out);
        block = out.copy();
        System.out.println(
                "block "
                        + block.readableBytes()
                        + " bytes, request "
                        + request.length
                        + " bytes, token "
                        + token.length
                        + " bytes");
    }

    /** Encodes the header list of a call. */
    @Benchmark
    public int hpackEncode() {
        out.clear();
        encoder.encode(call, out);
        return out.readableBytes();
    }

    /** Decodes the header block of a call. */
    @Benchmark
    public Headers hpackDecode() throws HpackException {
        return decoder.decode(block.duplicate());
    }

    /** Decodes a request with a prompt of 1,440 bytes. */
    @Benchmark
    public InferRequest requestDecode() throws ProtoException {
        return InferRequest.parse(request);
    }

    /** Decodes a token from an engine. */
    @Benchmark
    public DecodeEvent tokenDecode() throws ProtoException {
        return DecodeEvent.parse(token);
    }

    /** Encodes a token for a client. */
    @Benchmark
    public byte[] tokenEncode() {
        return InferResponse.textChunk("sorrel", "request-1", "willow17 ").toStreamResponseBytes();
    }

    /** Runs the benchmarks. */
    public static void main(String[] args) throws RunnerException, java.io.IOException {
        org.openjdk.jmh.Main.main(
                args.length > 0 ? args : new String[] {"CodecBench|FrameBench", "-prof", "gc"});
    }
}
