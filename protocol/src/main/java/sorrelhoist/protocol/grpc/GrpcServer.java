package sorrelhoist.protocol.grpc;

import io.netty.buffer.ByteBuf;
import java.util.HashMap;
import java.util.Map;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.http2.ErrorCode;
import sorrelhoist.protocol.http2.Http2Connection;
import sorrelhoist.protocol.http2.Http2Stream;
import sorrelhoist.protocol.http2.Http2StreamListener;

/** gRPC over HTTP/2 at the serving side: finds a call's method, and rejects what is no gRPC. */
public final class GrpcServer implements Http2Connection.StreamAcceptor {
    /** One method. */
    public interface MethodHandler {
        /**
         * A call began.
         *
         * @param call the call; may be closed at once
         * @return the listener for the rest of the call
         */
        ServerCall.Listener open(ServerCall call);
    }

    /** A method that takes one message and is done with it when the message is complete. */
    public interface UnaryHandler {
        /** Takes the request; the call is closed now or later. */
        void call(ServerCall call, byte[] request);
    }

    private final Map<String, MethodHandler> methods = new HashMap<>();
    private final int maxMessageBytes;

    /**
     * Makes a server without methods.
     *
     * @param maxMessageBytes bytes that one message may have
     */
    public GrpcServer(int maxMessageBytes) {
        this.maxMessageBytes = maxMessageBytes;
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

    /**
     * Adds a method that takes one message.
     *
     * @param path /package.Service/Method
     * @param method its implementation
     * @return this
     */
    public GrpcServer addUnaryMethod(String path, UnaryHandler method) {
        return addMethod(path, call -> new UnaryCallListener(call, method));
    }

    @Override
    public Http2StreamListener accept(Http2Stream stream, Headers headers, boolean endStream) {
        if (!headers.get("content-type", "").startsWith("application/grpc")) {
            stream.writeHeaders(new Headers().add(":status", "415"), true);
            return new RejectedStreamListener();
        }
        long timeoutMicros = GrpcTimeout.NONE;
        Status rejection;
        try {
            timeoutMicros = GrpcTimeout.parse(headers.get("grpc-timeout"));
            rejection = rejection(headers);
        } catch (IllegalArgumentException e) {
            rejection = new Status(StatusCode.INVALID_ARGUMENT, e.getMessage());
        }
        ServerCall call = new ServerCall(stream, headers, timeoutMicros, maxMessageBytes);
        if (rejection != null) {
            call.close(rejection, null);
            return new RejectedStreamListener();
        }
        call.listener(methods.get(call.path()).open(call));
        if (endStream) {
            call.onHeaders(new Headers(), true);
        }
        return call;
    }

    /** {@return why a call with these headers is rejected, or null} */
    private Status rejection(Headers headers) {
        if (!"POST".equals(headers.get(":method"))) {
            return new Status(StatusCode.INTERNAL, "gRPC calls are POST requests");
        }
        String encoding = headers.get("grpc-encoding", "identity");
        if (!"identity".equals(encoding)) {
            return new Status(
                    StatusCode.UNIMPLEMENTED,
                    "grpc-encoding \"" + encoding + "\" is not taken: send identity");
        }
        String path = headers.get(":path");
        return methods.containsKey(path)
                ? null
                : new Status(StatusCode.UNIMPLEMENTED, "no method " + path);
    }

    /** For streams that were answered before they were read. */
    private static final class RejectedStreamListener implements Http2StreamListener {
        @Override
        public void onHeaders(Headers headers, boolean endStream) {
            // Nobody reads it.
        }

        @Override
        public void onData(ByteBuf data, boolean endStream) {
            // Nobody reads it.
        }

        @Override
        public void onReset(ErrorCode code, boolean unprocessed, String reason) {
            // It was answered.
        }
    }
}
