package sorrelhoist.standin.engine;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import java.util.HashSet;
import java.util.Set;

/**
 * Cuts an engine off as a network would: nothing is read, nothing gets out, and nobody is told.
 * Connections that lived through it lost bytes, so they are closed when it ends.
 */
final class Valve {
    private final Set<Channel> channels = new HashSet<>();
    private boolean shut;

    boolean isShut() {
        return shut;
    }

    void shut() {
        shut = true;
        channels.forEach(c -> c.config().setAutoRead(false));
    }

    void open() {
        shut = false;
        Set.copyOf(channels).forEach(Channel::close);
    }

    /** The handler of one connection, to stand before all others. */
    final class Gate extends ChannelDuplexHandler {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channels.add(ctx.channel());
            ctx.channel().config().setAutoRead(!shut);
            ctx.fireChannelActive();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            channels.remove(ctx.channel());
            ctx.fireChannelInactive();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (shut) {
                ReferenceCountUtil.release(message);
            } else {
                ctx.fireChannelRead(message);
            }
        }

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            if (shut) {
                ReferenceCountUtil.release(message);
                promise.setSuccess();
            } else {
                ctx.write(message, promise);
            }
        }
    }
}
