package sorrelhoist.standin.engine;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import java.util.HashSet;
import java.util.Set;

/**
 * Simulates a network partition: while it lasts nothing is read, what is written is dropped, and
 * neither side notices. Connections that lived through it lost bytes, so they are closed when it
 * ends.
 */
final class NetworkPartition {
    private final Set<Channel> channels = new HashSet<>();
    private boolean active;

    boolean isActive() {
        return active;
    }

    void begin() {
        active = true;
        channels.forEach(channel -> channel.config().setAutoRead(false));
    }

    /** Ends the partition and closes all connections. */
    void end() {
        active = false;
        Set.copyOf(channels).forEach(Channel::close);
    }

    /** {@return the handler for one connection, to stand before all others} */
    ChannelHandler newHandler() {
        return new PartitionHandler();
    }

    private final class PartitionHandler extends ChannelDuplexHandler {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            channels.add(context.channel());
            context.channel().config().setAutoRead(!active);
            context.fireChannelActive();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            channels.remove(context.channel());
            context.fireChannelInactive();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (active) {
                ReferenceCountUtil.release(message);
            } else {
                context.fireChannelRead(message);
            }
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (active) {
                ReferenceCountUtil.release(message);
                promise.setSuccess();
            } else {
                context.write(message, promise);
            }
        }
    }
}
