package sorrelhoist.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What enters a line comes out in order and after its delay, an end last. */
class DelayLineTest {
    private static final long BOUND_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final int PIECES = 200;
    private static final int END = -1;
    private static final long SEED = 7;
    private final HarnessLoop harness = new HarnessLoop();
    private final List<Integer> out = new ArrayList<>();
    private final DelayLine line = newLine(SEED);

    private DelayLine newLine(long seed) {
        return DelayLine.drawn(harness.eventLoop(), new Random(seed));
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    private void awaitPieces(int count) throws Exception {
        long bound = System.nanoTime() + BOUND_NANOS;
        while (harness.call(out::size) < count) {
            assertTrue(System.nanoTime() < bound, "never");
        }
    }

    @Test
    void piecesComeOutInOrderAndTheEndLast() throws Exception {
        for (int i = 0; i < PIECES; i++) {
            int piece = i;
            harness.run(() -> line.pass(() -> out.add(piece)));
        }
        harness.run(() -> line.passEnd(() -> out.add(END)));
        awaitPieces(PIECES + 1);
        List<Integer> expected = new ArrayList<>(IntStream.range(0, PIECES).boxed().toList());
        expected.add(END);
        assertEquals(expected, out);
    }

    @Test
    void nothingComesOutBeforeItsDelay() throws Exception {
        long enteredAt = System.nanoTime();
        long[] cameOutAt = new long[1];
        harness.run(
                () ->
                        line.pass(
                                () -> {
                                    cameOutAt[0] = System.nanoTime();
                                    out.add(0);
                                }));
        awaitPieces(1);
        assertTrue(cameOutAt[0] - enteredAt >= line.delayNanos());
    }

    @Test
    void delaysAreTheirSeedsAlone() {
        assertEquals(line.delayNanos(), newLine(SEED).delayNanos());
        assertTrue(
                IntStream.range(0, PIECES)
                                .mapToLong(i -> newLine(i).delayNanos())
                                .distinct()
                                .count()
                        > PIECES / 2);
    }
}
