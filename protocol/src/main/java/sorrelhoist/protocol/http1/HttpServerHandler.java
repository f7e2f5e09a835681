package sorrelhoist.protocol.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.Consumer;

/** Serves HTTP/1.1 requests on one connection, in the order of their arrival. */
public final class HttpServerHandler extends ChannelInboundHandlerAdapter {
    private static final int MAX_BODY_BYTES = 1 << 20;

    /** Handles requests. */
    public interface RequestHandler {
        /**
         * Handles a request.
         *
         * @param request the complete request
         * @param respond sends the response; must be called once, immediately or later, on any
         *     thread
         */
        void handle(HttpMessage request, Consumer<HttpMessage> respond);
    }

    private final HttpMessageDecoder decoder = new HttpMessageDecoder(true, MAX_BODY_BYTES);
    private final RequestHandler requestHandler;

    /** Whether the last request to be served on this connection has been read. */
    private boolean lastRequestRead;

    /** Creates the handler of one connection. */
    public HttpServerHandler(RequestHandler requestHandler) {
        this.requestHandler = requestHandler;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf in = (ByteBuf) message;
        try {
            for (HttpMessage request = next(in); request != null; request = next(in)) {
                lastRequestRead |= !request.isKeepAlive();
                handle(ctx, request);
            }
        } catch (HttpDecodeException e) {
            lastRequestRead = true;
            respond(
                    ctx,
                    HttpMessage.response(e.status(), "text/plain", e.getMessage() + "\n"),
                    true);
        } finally {
            in.release();
        }
    }

    private HttpMessage next(ByteBuf in) throws HttpDecodeException {
        return lastRequestRead ? null : decoder.next(in);
    }

    private void handle(ChannelHandlerContext ctx, HttpMessage request) {
        requestHandler.handle(
                request,
                response ->
                        ctx.executor()
                                .execute(() -> respond(ctx, response, !request.isKeepAlive())));
    }

    private static void respond(ChannelHandlerContext ctx, HttpMessage response, boolean close) {
        ByteBuf bytes = HttpMessageEncoder.encodeResponse(ctx.alloc(), response, close);
        var written = ctx.writeAndFlush(bytes);
        if (close) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
