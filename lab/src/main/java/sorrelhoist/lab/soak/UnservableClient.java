package sorrelhoist.lab.soak;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A client's connection on which nothing is sent, or nothing that can be served. In the second case
 * the router owes it an error or a close. Times are nanoseconds of the monotonic clock.
 */
final class UnservableClient extends ChannelInboundHandlerAdapter {
    private static final long STAYS_MILLIS = 6000;
    private final RouterEndpoint router;
    private final int routerIncarnation;
    private final String text;
    private final Consumer<UnservableClient> connected;
    private long connectedAt = RequestTrace.NEVER;
    private long respondedAt = RequestTrace.NEVER;

    /**
     * Creates a client that is not connected yet.
     *
     * @param router where it connects to
     * @param text what it sends; empty for nothing
     * @param connected told when it is connected
     */
    UnservableClient(RouterEndpoint router, String text, Consumer<UnservableClient> connected) {
        this.router = router;
        this.routerIncarnation = router.incarnation();
        this.text = text;
        this.connected = connected;
    }

    RouterEndpoint router() {
        return router;
    }

    int routerIncarnation() {
        return routerIncarnation;
    }

    boolean expectsResponse() {
        return !text.isEmpty();
    }

    long connectedAt() {
        return connectedAt;
    }

    /** {@return when the router first sent something or closed the connection} */
    long respondedAt() {
        return respondedAt;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        connectedAt = System.nanoTime();
        connected.accept(this);
        if (expectsResponse()) {
            context.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        }
        context.channel()
                .eventLoop()
                .schedule(() -> context.channel().close(), STAYS_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        respondedAt = Math.min(respondedAt, System.nanoTime());
        ((ByteBuf) message).release();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        respondedAt = Math.min(respondedAt, System.nanoTime());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
