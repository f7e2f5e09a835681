package sorrelhoist.protocol.net;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.ThreadAwareExecutor;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.util.concurrent.TimeUnit;

/**
 * An I/O handler that blocks until the next timer is due, without busy polling in the last part of
 * a millisecond.
 *
 * <p>Netty's NIO handler waits in whole milliseconds, rounded to the nearest one. With less than
 * half a millisecond left, it polls without blocking in a loop until the timer is due. On a machine
 * with less than one processor available, that loop uses processor time that the router needs. This
 * class rounds the remaining time up before it passes it to the NIO handler: a timer fires up to
 * one millisecond late, and no busy polling occurs.
 */
final class BlockingIoHandler implements IoHandler {
    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final InternalLogger LOGGER =
            InternalLoggerFactory.getInstance(BlockingIoHandler.class);
    private final IoHandler handler;
    private final ReadDelayEstimator readDelay;

    BlockingIoHandler(IoHandler handler, ReadDelayEstimator readDelay) {
        this.handler = handler;
        this.readDelay = readDelay;
    }

    /** {@return a factory that wraps the handlers of another factory to avoid busy polling} */
    static IoHandlerFactory wrap(IoHandlerFactory factory) {
        return wrap(factory, null);
    }

    /**
     * Creates a factory that wraps the handlers of another factory to avoid busy polling.
     *
     * @param factory creates the wrapped handlers
     * @param readDelay notified of each poll, or null; requires a group with a single event loop
     */
    static IoHandlerFactory wrap(IoHandlerFactory factory, ReadDelayEstimator readDelay) {
        return new IoHandlerFactory() {
            @Override
            public IoHandler newHandler(ThreadAwareExecutor executor) {
                return new BlockingIoHandler(factory.newHandler(executor), readDelay);
            }

            @Override
            public boolean isChangingThreadSupported() {
                return factory.isChangingThreadSupported();
            }
        };
    }

    /**
     * Rounds a delay up to whole milliseconds.
     *
     * @param nanos the delay in nanoseconds; zero and negative delays are returned unchanged
     * @return the rounded delay, in nanoseconds
     */
    static long roundUpToMillis(long nanos) {
        if (nanos <= 0 || nanos > Long.MAX_VALUE - NANOS_PER_MILLI) {
            return nanos;
        }
        return (nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI * NANOS_PER_MILLI;
    }

    /**
     * Runs the wrapped handler. Catches errors that it throws, such as {@link OutOfMemoryError},
     * because they would end the event loop's thread.
     */
    @Override
    public int run(IoHandlerContext context) {
        if (readDelay != null) {
            readDelay.pollStarted();
        }
        try {
            return handler.run(new RoundedContext(context, readDelay));
        } catch (Error e) {
            logFailure(e);
            return 0;
        }
    }

    /**
     * Logs an error that was survived. The log may lack what the error is about, such as memory.
     */
    private static void logFailure(Error survived) {
        try {
            LOGGER.error("failed to handle a socket event; the event loop continues", survived);
        } catch (Error e) {
            // The next failure is logged if it can be.
        }
    }

    @Override
    public void initialize() {
        handler.initialize();
    }

    @Override
    public void prepareToDestroy() {
        handler.prepareToDestroy();
    }

    @Override
    public void destroy() {
        handler.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return handler.register(handle);
    }

    @Override
    public void wakeup() {
        handler.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
        return handler.isCompatible(handleType);
    }

    /** A context that rounds the delay until the next timer up. */
    private record RoundedContext(IoHandlerContext context, ReadDelayEstimator readDelay)
            implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return context.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return roundUpToMillis(context.delayNanos(currentTimeNanos));
        }

        @Override
        public long deadlineNanos() {
            return context.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long activeNanos) {
            context.reportActiveIoTime(activeNanos);
        }

        /**
         * Called by the NIO handler after it has selected the ready sockets and before it handles
         * them.
         */
        @Override
        public boolean shouldReportActiveIoTime() {
            if (readDelay != null) {
                readDelay.pollFinished();
            }
            return context.shouldReportActiveIoTime();
        }
    }
}
