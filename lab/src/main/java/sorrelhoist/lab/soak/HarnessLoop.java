package sorrelhoist.lab.soak;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import sorrelhoist.protocol.net.LoopbackTransport;

/** The event loop on which all stand-ins and clients of a run live. */
final class HarnessLoop {
    private static final long LAG_CHECK_MILLIS = 20;
    private static final long LAG_LIMIT_MILLIS = 60;
    private static final long SHUTDOWN_SECONDS = 2;
    private final EventLoopGroup group = LoopbackTransport.newEventLoops(1, "soak");
    private final EventLoop loop = group.next();
    private long lagCheckedAt = System.nanoTime();

    EventLoop eventLoop() {
        return loop;
    }

    /** Runs something on the loop and waits for it. */
    <T> T call(Callable<T> task) throws Exception {
        try {
            return loop.submit(task).get();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof Exception cause ? cause : e;
        }
    }

    /** Runs something on the loop and waits for it. */
    void run(Runnable task) throws Exception {
        call(
                () -> {
                    task.run();
                    return null;
                });
    }

    void schedule(Runnable task, long delayMillis) {
        loop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Records from now on when the loop itself lags: its timestamps prove nothing then. */
    void monitorLag(FleetTimeline timeline) {
        long limit = TimeUnit.MILLISECONDS.toNanos(LAG_CHECK_MILLIS + LAG_LIMIT_MILLIS);
        loop.scheduleWithFixedDelay(
                () -> {
                    long now = System.nanoTime();
                    if (now - lagCheckedAt > limit) {
                        timeline.recordHarnessLag(lagCheckedAt, now);
                    }
                    lagCheckedAt = now;
                },
                LAG_CHECK_MILLIS,
                LAG_CHECK_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    void close() {
        group.shutdownGracefully(0, SHUTDOWN_SECONDS, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
