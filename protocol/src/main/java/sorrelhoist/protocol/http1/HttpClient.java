package sorrelhoist.protocol.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import sorrelhoist.protocol.net.ConnectionAttempt;
import sorrelhoist.protocol.net.LoopbackTransport;

/**
 * Sends requests to an HTTP/1.1 server, each on its own connection. Connections are not reused,
 * because the client only polls a registry about once a second.
 */
public final class HttpClient {
    private static final int MAX_BODY_BYTES = 16 << 20;
    private final EventLoop loop;
    private final String address;

    /**
     * Creates a client.
     *
     * @param loop event loop that runs the requests and completes their futures
     * @param address the server's address, 127.0.0.1:PORT
     */
    public HttpClient(EventLoop loop, String address) {
        this.loop = loop;
        this.address = address;
        LoopbackTransport.parseAddress(address);
    }

    /**
     * Sends a request.
     *
     * @param request the request
     * @param timeoutMicros time until the request fails, in microseconds
     * @return a future of the response, which fails with an {@link IOException}, {@link
     *     TimeoutException} or {@link HttpDecodeException}
     */
    public CompletableFuture<HttpMessage> send(HttpMessage request, long timeoutMicros) {
        CompletableFuture<HttpMessage> result = new CompletableFuture<>();
        ConnectionAttempt attempt =
                LoopbackTransport.connect(
                        loop, address, timeoutMicros, new Handler(request, result));
        attempt.onFailure(result::completeExceptionally);
        loop.schedule(
                () -> {
                    if (result.completeExceptionally(timeout(timeoutMicros))) {
                        attempt.close();
                    }
                },
                timeoutMicros,
                TimeUnit.MICROSECONDS);
        return result;
    }

    private TimeoutException timeout(long timeoutMicros) {
        return new TimeoutException(
                "no answer from " + address + " in " + timeoutMicros / 1000 + " ms");
    }

    private final class Handler extends ChannelInboundHandlerAdapter {
        private final HttpMessage request;
        private final CompletableFuture<HttpMessage> result;
        private final HttpMessageDecoder decoder = new HttpMessageDecoder(false, MAX_BODY_BYTES);

        Handler(HttpMessage request, CompletableFuture<HttpMessage> result) {
            this.request = request;
            this.result = result;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ctx.writeAndFlush(HttpMessageEncoder.encodeRequest(ctx.alloc(), request, address));
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf in = (ByteBuf) message;
            try {
                HttpMessage response = decoder.next(in);
                if (response != null && response.status() >= 200) {
                    result.complete(response);
                    ctx.close();
                }
            } catch (HttpDecodeException e) {
                result.completeExceptionally(e);
                ctx.close();
            } finally {
                in.release();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            HttpMessage response = decoder.completeAtClose();
            if (response != null) {
                result.complete(response);
            }
            result.completeExceptionally(
                    new IOException("the connection to " + address + " ended early"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            result.completeExceptionally(cause);
            ctx.close();
        }
    }
}
