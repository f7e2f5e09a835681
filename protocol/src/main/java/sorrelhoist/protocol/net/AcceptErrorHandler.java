package sorrelhoist.protocol.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.AttributeKey;
import java.util.concurrent.TimeUnit;

/**
 * Resumes accepting connections shortly after a failed accept. Netty's default handler pauses for a
 * second after any error, while the clients' deadlines run. A short pause is still needed, because
 * accept fails repeatedly while file descriptors are exhausted. Connections that are accepted
 * afterwards may have waited since the first failure.
 */
final class AcceptErrorHandler extends ChannelInboundHandlerAdapter {
    private static final AttributeKey<Long> WAITING_SINCE_NANOS =
            AttributeKey.valueOf(AcceptErrorHandler.class, "waitingSince");
    private static final long ACCEPT_PAUSE_MILLIS = 20;
    private static final long NOT_FAILING = Long.MIN_VALUE;

    /**
     * Time of the first failed accept in {@link System#nanoTime} units, or {@link #NOT_FAILING}.
     */
    private long failingSinceNanos = NOT_FAILING;

    /**
     * Value of {@link #failingSinceNanos} before the last read completed. It is needed because
     * Netty reports a failure after the end of the read.
     */
    private long previouslyFailingSinceNanos = NOT_FAILING;

    @Override
    public void channelRead(ChannelHandlerContext context, Object accepted) {
        if (failingSinceNanos != NOT_FAILING) {
            ((Channel) accepted).attr(WAITING_SINCE_NANOS).set(failingSinceNanos);
        }
        context.fireChannelRead(accepted);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        previouslyFailingSinceNanos = failingSinceNanos;
        failingSinceNanos = NOT_FAILING;
        context.fireChannelReadComplete();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failingSinceNanos =
                previouslyFailingSinceNanos == NOT_FAILING
                        ? System.nanoTime()
                        : previouslyFailingSinceNanos;
        ChannelConfig config = context.channel().config();
        if (config.isAutoRead()) {
            config.setAutoRead(false);
            context.executor()
                    .schedule(
                            () -> config.setAutoRead(true),
                            ACCEPT_PAUSE_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    /**
     * {@return the longest time for which a connection may have waited because accepts failed, in
     * nanoseconds; 0 if none failed}
     */
    static long acceptDelayNanos(Channel accepted) {
        Long waitingSince = accepted.attr(WAITING_SINCE_NANOS).get();
        return waitingSince == null ? 0 : System.nanoTime() - waitingSince;
    }
}
