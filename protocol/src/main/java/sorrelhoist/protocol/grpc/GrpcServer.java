package sorrelhoist.protocol.grpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import java.util.HashMap;
import java.util.Map;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.http2.ErrorCode;
import sorrelhoist.protocol.http2.Http2Connection;
import sorrelhoist.protocol.http2.Http2Stream;
import sorrelhoist.protocol.http2.StreamListener;

/** gRPC over HTTP/2 at the serving side: finds a call's method, and refuses what is no gRPC. */
public final class GrpcServer implements Http2Connection.Acceptor {
    /** One method. */
    public interface Method {
        /**
         * A call began.
         *
         * @param call the call; may be closed at once
         * @return who is told of the rest
         */
        ServerCall.Listener open(ServerCall call);
    }

    private static final ByteBufAllocator ALLOC = PooledByteBufAllocator.DEFAULT;
    private final Map<String, Method> methods = new HashMap<>();
    private final int maxMessage;

    /**
     * Makes a server without methods.
     *
     * @param maxMessage bytes that one message may have
     */
    public GrpcServer(int maxMessage) {
        this.maxMessage = maxMessage;
    }

    /**
     * Adds a method; to be done before the first connection.
     *
     * @param path /package.Service/Method
     * @param method its implementation
     * @return this
     */
    public GrpcServer on(String path, Method method) {
        methods.put(path, method);
        return this;
    }

    /** A method that takes one message and is done with it when the message has come whole. */
    public interface Unary {
        /** Takes the request; the call is closed now or later. */
        void call(ServerCall call, byte[] request);
    }

    /**
     * Adds a method that takes one message.
     *
     * @param path /package.Service/Method
     * @param method its implementation
     * @return this
     */
    public GrpcServer unary(String path, Unary method) {
        return on(
                path,
                call ->
                        new ServerCall.Listener() {
                            private byte[] request;

                            @Override
                            public void message(byte[] message) {
                                if (request != null) {
                                    call.close(
                                            new Status(Code.INVALID_ARGUMENT, "send one message"),
                                            null);
                                }
                                request = message;
                            }

                            @Override
                            public void halfClosed() {
                                if (request == null) {
                                    call.close(
                                            new Status(
                                                    Code.INVALID_ARGUMENT,
                                                    "the request's message is missing"),
                                            null);
                                } else {
                                    method.call(call, request);
                                }
                            }
                        });
    }

    @Override
    public StreamListener opened(Http2Stream stream, Headers headers, boolean end) {
        long timeout = Timeouts.NONE;
        Status bad = null;
        try {
            timeout = Timeouts.parse(headers.get("grpc-timeout"));
        } catch (IllegalArgumentException e) {
            bad = new Status(Code.INVALID_ARGUMENT, e.getMessage());
        }
        ServerCall call = new ServerCall(stream, headers, timeout, maxMessage);
        if (!headers.get("content-type", "").startsWith("application/grpc")) {
            stream.headers(new Headers().add(":status", "415"), true);
            return new Deaf();
        }
        Method method = methods.get(call.path());
        if (bad == null && !"POST".equals(headers.get(":method"))) {
            bad = new Status(Code.INTERNAL, "gRPC calls are POST requests");
        } else if (bad == null && !"identity".equals(headers.get("grpc-encoding", "identity"))) {
            bad =
                    new Status(
                            Code.UNIMPLEMENTED,
                            "grpc-encoding \""
                                    + headers.get("grpc-encoding")
                                    + "\" is not taken: send identity");
        } else if (bad == null && method == null) {
            bad = new Status(Code.UNIMPLEMENTED, "no method " + call.path());
        }
        if (bad != null) {
            call.close(bad, null);
            return new Deaf();
        }
        call.listener(method.open(call));
        if (end) {
            call.headers(new Headers(), true);
        }
        return call;
    }

    static ByteBuf framed(byte[] message) {
        return ALLOC.buffer(5 + message.length)
                .writeByte(0)
                .writeInt(message.length)
                .writeBytes(message);
    }

    /** For streams that were answered before they were read. */
    private static final class Deaf implements StreamListener {
        @Override
        public void headers(Headers headers, boolean end) {
            // Nobody reads it.
        }

        @Override
        public void data(ByteBuf data, boolean end) {
            // Nobody reads it.
        }

        @Override
        public void reset(ErrorCode code, boolean unprocessed, String why) {
            // It was answered.
        }
    }
}
