package sorrelhoist.protocol.fuzz;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import sorrelhoist.protocol.engine.DecodeEvent;
import sorrelhoist.protocol.engine.DecodeRequest;
import sorrelhoist.protocol.hpack.HpackDecoder;
import sorrelhoist.protocol.hpack.HpackException;
import sorrelhoist.protocol.http1.HttpDecodeException;
import sorrelhoist.protocol.http1.HttpMessage;
import sorrelhoist.protocol.http1.HttpMessageDecoder;
import sorrelhoist.protocol.http2.FuzzedConversation;
import sorrelhoist.protocol.inference.InferRequest;
import sorrelhoist.protocol.inference.InferResponse;
import sorrelhoist.protocol.plan.PlanEvent;
import sorrelhoist.protocol.protobuf.ProtoException;

/**
 * Generative fuzzing of every decoder. Each input is derived from its seed, so that a failure can
 * be reproduced from the seed alone. Any exception other than the decoder's own checked exception
 * is a failure, and so is an input that takes more than a second of CPU time.
 */
public final class DecoderFuzz {
    private static final long SLOW_NANOS = 1_000_000_000L;

    private DecoderFuzz() {}

    /** Runs one input. {@return its size in bytes} */
    static int runInput(long seed) {
        // CPU time of this thread, so that other load on the machine does not count.
        long start = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        int size;
        try {
            size =
                    seed % 3 == 0
                            ? new FuzzedConversation(seed).feed()
                            : decodeRandomBytes(new SplittableRandom(seed), (int) (seed % 7));
        } catch (RuntimeException | AssertionError e) {
            throw new AssertionError("seed " + seed, e);
        }
        if (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - start > SLOW_NANOS) {
            throw new AssertionError("seed " + seed + " took more than a second");
        }
        return size;
    }

    private static int decodeRandomBytes(SplittableRandom random, int which) {
        byte[] bytes = new byte[random.nextInt(400)];
        random.nextBytes(bytes);
        if (random.nextBoolean()) {
            // Small numbers are likely to be valid tags, lengths and indices, and reach more code.
            for (int i = 0; i < bytes.length; i++) {
                bytes[i] = (byte) (random.nextInt(3) > 0 ? random.nextInt(48) : bytes[i]);
            }
        }
        try {
            decode(bytes, random, which);
        } catch (ProtoException | HpackException | HttpDecodeException e) {
            return bytes.length;
        }
        return bytes.length;
    }

    private static void decode(byte[] bytes, SplittableRandom random, int which)
            throws ProtoException, HpackException, HttpDecodeException {
        switch (which) {
            case 0 -> InferRequest.parse(bytes);
            case 1 -> InferResponse.parseStreamResponse(bytes);
            case 2 -> PlanEvent.parse(bytes);
            case 3 -> DecodeEvent.parse(bytes);
            case 4 -> DecodeRequest.parse(bytes);
            case 5 -> {
                HpackDecoder decoder = new HpackDecoder(4096, 16 << 10);
                for (int i = 0; i < 3; i++) {
                    decoder.decode(Unpooled.wrappedBuffer(bytes));
                }
            }
            default -> http(bytes, random);
        }
    }

    private static void http(byte[] noise, SplittableRandom random) throws HttpDecodeException {
        String text =
                "POST /a HTTP/1.1\r\nhost: h\r\n"
                        + (random.nextBoolean()
                                ? "content-length: 9\r\n\r\n123456789"
                                : "transfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n");
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        for (int i = random.nextInt(4); i > 0 && noise.length > 0; i--) {
            bytes[random.nextInt(bytes.length)] = noise[random.nextInt(noise.length)];
        }
        HttpMessageDecoder parser = new HttpMessageDecoder(true, 1000);
        ByteBuf in = Unpooled.wrappedBuffer(bytes);
        for (HttpMessage m = parser.next(in); m != null; m = parser.next(in)) {
            m.path();
        }
    }

    /**
     * Runs inputs for a given time.
     *
     * @param args duration in seconds, number of threads and first seed
     */
    public static void main(String[] args) throws InterruptedException {
        for (long seed = 0; seed < 1000; seed++) {
            runInput(seed);
        }
        long end = System.nanoTime() + Long.parseLong(args[0]) * 1_000_000_000L;
        int threads = Integer.parseInt(args[1]);
        AtomicLong seeds = new AtomicLong(Long.parseLong(args[2]));
        AtomicLong bytes = new AtomicLong();
        long first = seeds.get();
        List<Thread> all = new ArrayList<>();
        for (int i = 0; i < threads; i++) {
            Thread thread = new Thread(() -> run(end, seeds, bytes));
            thread.setUncaughtExceptionHandler(
                    (failed, e) -> {
                        e.printStackTrace();
                        Runtime.getRuntime().halt(1);
                    });
            thread.start();
            all.add(thread);
        }
        for (Thread thread : all) {
            thread.join();
        }
        Runtime runtime = Runtime.getRuntime();
        System.out.printf(
                "%d inputs, %d MB, %d threads for %s s, no failure; heap in use %d MB%n",
                seeds.get() - first,
                bytes.get() / 1_000_000,
                threads,
                args[0],
                (runtime.totalMemory() - runtime.freeMemory()) / 1_000_000);
    }

    private static void run(long endNanos, AtomicLong seeds, AtomicLong bytes) {
        while (System.nanoTime() < endNanos) {
            for (int n = 0; n < 1000; n++) {
                bytes.addAndGet(runInput(seeds.getAndIncrement()));
            }
        }
    }
}
