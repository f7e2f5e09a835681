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
import sorrelhoist.protocol.http2.Http2StreamListener;

/** gRPC over HTTP/2 at the serving side: finds a call's method, and refuses what is no gRPC. */
public final class GrpcServer implements Http2Connection.StreamAcceptor {
    /** One method. */
    public interface MethodHandler {
        /**
         * A call began.
         *
         * @param call the call; may be closed at once
         * @return who is told of the rest
         */
        ServerCall.Listener open(ServerCall call);
    }

    private static final ByteBufAllocator ALLOC = PooledByteBufAllocator.DEFAULT;
    private final Map<String, MethodHandler> methods = new HashMap<>();
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
    public GrpcServer addMethod(String path, MethodHandler method) {
        methods.put(path, method);
        return this;
    }

    /** A method that takes one message and is done with it when the message has come whole. */
    public interface UnaryHandler {
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
    public GrpcServer addUnaryMethod(String path, UnaryHandler method) {
        return addMethod(
                path,
                call ->
                        new ServerCall.Listener() {
                            private byte[] request;

                            @Override
                            public void onMessage(byte[] message) {
                                if (request != null) {
                                    call.close(
                                            new Status(
                                                    StatusCode.INVALID_ARGUMENT,
                                                    "send one message"),
                                            null);
                                }
                                request = message;
                            }

                            @Override
                            public void onHalfClose() {
                                if (request == null) {
                                    call.close(
                                            new Status(
                                                    StatusCode.INVALID_ARGUMENT,
                                                    "the request's message is missing"),
                                            null);
                                } else {
                                    method.call(call, request);
                                }
                            }
                        });
    }

    @Override
    public Http2StreamListener accept(Http2Stream stream, Headers headers, boolean end) {
        long timeout = GrpcTimeout.NONE;
        Status bad = null;
        try {
            timeout = GrpcTimeout.parse(headers.get("grpc-timeout"));
        } catch (IllegalArgumentException e) {
            bad = new Status(StatusCode.INVALID_ARGUMENT, e.getMessage());
        }
        ServerCall call = new ServerCall(stream, headers, timeout, maxMessage);
        if (!headers.get("content-type", "").startsWith("application/grpc")) {
            stream.writeHeaders(new Headers().add(":status", "415"), true);
            return new Deaf();
        }
        MethodHandler method = methods.get(call.path());
        if (bad == null && !"POST".equals(headers.get(":method"))) {
            bad = new Status(StatusCode.INTERNAL, "gRPC calls are POST requests");
        } else if (bad == null && !"identity".equals(headers.get("grpc-encoding", "identity"))) {
            bad =
                    new Status(
                            StatusCode.UNIMPLEMENTED,
                            "grpc-encoding \""
                                    + headers.get("grpc-encoding")
                                    + "\" is not taken: send identity");
        } else if (bad == null && method == null) {
            bad = new Status(StatusCode.UNIMPLEMENTED, "no method " + call.path());
        }
        if (bad != null) {
            call.close(bad, null);
            return new Deaf();
        }
        call.listener(method.open(call));
        if (end) {
            call.onHeaders(new Headers(), true);
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
    private static final class Deaf implements Http2StreamListener {
        @Override
        public void onHeaders(Headers headers, boolean end) {
            // Nobody reads it.
        }

        @Override
        public void onData(ByteBuf data, boolean end) {
            // Nobody reads it.
        }

        @Override
        public void onReset(ErrorCode code, boolean unprocessed, String why) {
            // It was answered.
        }
    }
}
