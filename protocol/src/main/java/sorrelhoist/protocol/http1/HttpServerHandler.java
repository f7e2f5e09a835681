package sorrelhoist.protocol.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.Consumer;

/** Serves HTTP/1.1 on one connection, one request after the other. */
public final class HttpServerHandler extends ChannelInboundHandlerAdapter {
    private static final int MAX_BODY = 1 << 20;

    /** Takes requests. */
    public interface RequestHandler {
        /**
         * Takes a request.
         *
         * @param request whole
         * @param answer takes the response, now or later, on any thread; once
         */
        void handle(HttpMessage request, Consumer<HttpMessage> answer);
    }

    private final HttpMessageDecoder parser = new HttpMessageDecoder(true, MAX_BODY);
    private final RequestHandler service;
    private boolean over;

    /** Makes the handler of one connection. */
    public HttpServerHandler(RequestHandler service) {
        this.service = service;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf in = (ByteBuf) message;
        try {
            for (HttpMessage m = over ? null : parser.next(in);
                    m != null;
                    m = over ? null : parser.next(in)) {
                HttpMessage request = m;
                over |= !request.keepsAlive();
                service.handle(
                        request,
                        response -> ctx.executor().execute(() -> answer(ctx, request, response)));
            }
        } catch (HttpDecodeException e) {
            over = true;
            HttpMessage refusal =
                    HttpMessage.response(e.status(), "text/plain", e.getMessage() + "\n");
            ctx.writeAndFlush(HttpWriter.write(ctx.alloc(), refusal, "", true))
                    .addListener(ChannelFutureListener.CLOSE);
        } finally {
            in.release();
        }
    }

    private void answer(ChannelHandlerContext ctx, HttpMessage request, HttpMessage response) {
        boolean close = !request.keepsAlive();
        var written = ctx.writeAndFlush(HttpWriter.write(ctx.alloc(), response, "", close));
        if (close) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
