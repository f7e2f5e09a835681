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
final class AcceptErrors extends ChannelInboundHandlerAdapter {
    private static final AttributeKey<Long> WAITED_FROM =
            AttributeKey.valueOf(AcceptErrors.class, "waitedFrom");
    private static final long PAUSE_MILLIS = 20;
    private static final long NOT_FAILING = Long.MIN_VALUE;
    private long failingSince = NOT_FAILING;

    /**
     * What it was before the read that is under way; Netty tells of a failure behind the read's
     * end.
     */
    private long failedBefore = NOT_FAILING;

    @Override
    public void channelRead(ChannelHandlerContext context, Object accepted) {
        if (failingSince != NOT_FAILING) {
            ((Channel) accepted).attr(WAITED_FROM).set(failingSince);
        }
        context.fireChannelRead(accepted);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        failedBefore = failingSince;
        failingSince = NOT_FAILING;
        context.fireChannelReadComplete();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failingSince = failedBefore == NOT_FAILING ? System.nanoTime() : failedBefore;
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
        Long from = accepted.attr(WAITED_FROM).get();
        return from == null ? 0 : System.nanoTime() - from;
    }
}
