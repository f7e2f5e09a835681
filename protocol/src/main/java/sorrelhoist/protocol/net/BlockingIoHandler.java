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
 * An I/O handler that sleeps until the next timer is due instead of polling for the last part of a
 * millisecond.
 *
 * <p>Netty's NIO handler waits in whole milliseconds, rounded to the nearest one. With less than
 * half a millisecond left it polls without waiting, again and again, until the timer is due. On a
 * machine with part of a processor that loop spends the time that the router needs for its work.
 * Here the time that is left is rounded up before the handler sees it, so a timer fires up to one
 * millisecond late and nothing polls.
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

    /** {@return a factory whose handlers are those of the given factory, without busy polling} */
    static IoHandlerFactory wrap(IoHandlerFactory factory) {
        return wrap(factory, null);
    }

    /**
     * Makes a factory whose handlers are those of another one, without busy polling.
     *
     * @param factory the other one
     * @param readDelay is told of each poll of the loop, where there is only one; or null
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
     * @param nanos the delay; a delay that is over stays as it is
     * @return the delay to wait for
     */
    static long roundUpToMillis(long nanos) {
        if (nanos <= 0 || nanos > Long.MAX_VALUE - NANOS_PER_MILLI) {
            return nanos;
        }
        return (nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI * NANOS_PER_MILLI;
    }

    /**
     * An error that a handler lets through, such as memory that is used up, would end the thread of
     * the loop.
     */
    @Override
    public int run(IoHandlerContext context) {
        if (readDelay != null) {
            readDelay.pollStarted();
        }
        try {
            return handler.run(new RoundedContext(context, readDelay));
        } catch (Error e) {
            LOGGER.error("an event of a socket could not be handled", e);
            return 0;
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

    /** The event loop's view of its next timer, rounded up. */
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
         * A handler asks this when it has found which sockets are ready, before it handles them.
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
