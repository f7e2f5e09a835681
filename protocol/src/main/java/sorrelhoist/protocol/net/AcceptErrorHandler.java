package sorrelhoist.protocol.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.AttributeKey;
import java.util.concurrent.TimeUnit;

/**
 * Keeps a listener accepting after a failed accept. Netty's own handler stops for a second after
 * any error, in which clients' deadlines run. The system reports the same error again and again
 * while descriptors are used up, so a pause is needed, but a short one. Connections that are
 * accepted afterwards may have waited since the first failure.
 */
final class AcceptErrorHandler extends ChannelInboundHandlerAdapter {
    private static final AttributeKey<Long> WAITING_SINCE_NANOS =
            AttributeKey.valueOf(AcceptErrorHandler.class, "waitingSince");
    private static final long PAUSE_MILLIS = 20;
    private static final long NOT_FAILING = Long.MIN_VALUE;

    /** When accepting began to fail, or {@link #NOT_FAILING}. */
    private long failingSinceNanos = NOT_FAILING;

    /**
     * What it was before the read that is under way: Netty reports a failure behind the read's end.
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
                    .schedule(() -> config.setAutoRead(true), PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * {@return for how many nanoseconds a connection may have waited because accepting failed; 0
     * for not at all}
     */
    static long waitedNanos(Channel accepted) {
        Long waitingSince = accepted.attr(WAITING_SINCE_NANOS).get();
        return waitingSince == null ? 0 : System.nanoTime() - waitingSince;
    }
}
