package sorrelhoist.protocol.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class BlockingIoHandlerTest {
    private static final int TIMERS = 200;
    private static final long DELAY_MICROS =
            1_300; // 0.3 ms above a whole millisecond, which rounding to the nearest rounds down
    private static final long MAX_POLLS_PER_TIMER =
            4; // per timer: one blocking poll, and the polls for its task and the next timer

    @Test
    void aDelayIsRoundedUpToTheNextMillisecond() {
        assertEquals(1_000_000, BlockingIoHandler.roundUpToMillis(1));
        assertEquals(1_000_000, BlockingIoHandler.roundUpToMillis(499_999));
        assertEquals(1_000_000, BlockingIoHandler.roundUpToMillis(1_000_000));
        assertEquals(2_000_000, BlockingIoHandler.roundUpToMillis(1_000_001));
        assertEquals(0, BlockingIoHandler.roundUpToMillis(0));
        assertEquals(-5, BlockingIoHandler.roundUpToMillis(-5));
        assertEquals(Long.MAX_VALUE, BlockingIoHandler.roundUpToMillis(Long.MAX_VALUE));
    }

    @Test
    void eventLoopDoesNotBusyPollBeforeItsNextTimer() throws Exception {
        AtomicLong polls = new AtomicLong();
        IoHandlerFactory counting =
                NioIoHandler.newFactory(
                        SelectorProvider.provider(),
                        () ->
                                (supplier, hasTasks) -> {
                                    polls.incrementAndGet();
                                    return hasTasks ? supplier.get() : SelectStrategy.SELECT;
                                });
        EventLoopGroup group =
                new MultiThreadIoEventLoopGroup(
                        1,
                        new DefaultThreadFactory("polls", true),
                        BlockingIoHandler.wrap(counting));
        try {
            EventLoop loop = group.next();
            CountDownLatch remainingTimers = new CountDownLatch(TIMERS);
            loop.execute(() -> runTimers(loop, remainingTimers));
            assertTrue(remainingTimers.await(1, TimeUnit.MINUTES));
            assertTrue(
                    polls.get() <= MAX_POLLS_PER_TIMER * TIMERS,
                    polls + " polls for " + TIMERS + " timers");
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private static void runTimers(EventLoop loop, CountDownLatch remainingTimers) {
        remainingTimers.countDown();
        if (remainingTimers.getCount() > 0) {
            loop.schedule(
                    () -> runTimers(loop, remainingTimers), DELAY_MICROS, TimeUnit.MICROSECONDS);
        }
    }
}
