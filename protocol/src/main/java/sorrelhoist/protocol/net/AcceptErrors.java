package sorrelhoist.protocol.net;

import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;

/**
 * Keeps a listener accepting after a failed accept. Netty's own handler stops for a second after any error, in which
 * clients' deadlines run. The system reports the same error again and again while descriptors are used up, so a pause is
 * needed, but a short one.
 */
@Sharable
final class AcceptErrors extends ChannelInboundHandlerAdapter {
    private static final long PAUSE_MILLIS = 20;

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        ChannelConfig config = context.channel().config();
        if (config.isAutoRead()) {
            config.setAutoRead(false);
            context.executor().schedule(() -> config.setAutoRead(true), PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
