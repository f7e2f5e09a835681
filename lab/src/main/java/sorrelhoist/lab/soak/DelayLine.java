package sorrelhoist.lab.soak;

import io.netty.channel.EventLoop;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * One direction of a connection: what enters it comes out after a delay that is the same for all
 * its bytes, so that they stay in order. Confined to its event loop.
 */
final class DelayLine {
    private static final int MIN_DELAY_MICROS = 1_000;
    private static final int MAX_DELAY_MICROS = 10_000;
    private final EventLoop loop;
    private final Random random;
    private final int delayMicros;

    private DelayLine(EventLoop loop, Random random, int delayMicros) {
        this.loop = loop;
        this.random = random;
        this.delayMicros = delayMicros;
    }

    /** {@return a line with a delay drawn between the shortest and the longest} */
    static DelayLine drawn(EventLoop loop, Random random) {
        int range = MAX_DELAY_MICROS - MIN_DELAY_MICROS;
        return new DelayLine(loop, random, MIN_DELAY_MICROS + random.nextInt(range + 1));
    }

    /** {@return a line whose bytes come out with no delay} */
    static DelayLine undelayed(EventLoop loop, Random random) {
        return new DelayLine(loop, random, 0);
    }

    /** {@return how long its bytes are under way, nanoseconds} */
    long delayNanos() {
        return TimeUnit.MICROSECONDS.toNanos(delayMicros);
    }

    /** Runs something when bytes that enter now come out. */
    void pass(Runnable exit) {
        if (delayMicros == 0) {
            exit.run();
        } else {
            loop.schedule(exit, delayMicros, TimeUnit.MICROSECONDS);
        }
    }

    /**
     * Runs something when an end of the connection that enters now comes out: after all bytes, at
     * most the longest delay later. Nothing orders it and the bytes of another connection.
     */
    void passEnd(Runnable exit) {
        int micros = delayMicros + random.nextInt(MAX_DELAY_MICROS - delayMicros + 1);
        loop.schedule(exit, micros, TimeUnit.MICROSECONDS);
    }
}
