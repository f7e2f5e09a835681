package sorrelhoist.protocol.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.Consumer;

/** Serves HTTP/1.1 on one connection, one request after the other. */
public final class HttpServer extends ChannelInboundHandlerAdapter {
    private static final int MAX_BODY = 1 << 20;

    /** Takes requests. */
    public interface Service {
        /**
         * Takes a request.
         *
         * @param request whole
         * @param answer takes the response, now or later, on any thread; once
         */
        void take(HttpMessage request, Consumer<HttpMessage> answer);
    }

    private final HttpParser parser = new HttpParser(true, MAX_BODY);
    private final Service service;
    private boolean over;

    /** Makes the handler of one connection. */
    public HttpServer(Service service) {
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
                service.take(
                        request,
                        response -> ctx.executor().execute(() -> answer(ctx, request, response)));
            }
        } catch (HttpParser.BadMessage e) {
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
