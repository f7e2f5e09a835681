package sorrelhoist.protocol.grpc;

import io.netty.buffer.ByteBuf;
import java.util.HashMap;
import java.util.Map;
import sorrelhoist.protocol.hpack.Headers;
import sorrelhoist.protocol.http2.ErrorCode;
import sorrelhoist.protocol.http2.Http2Connection;
import sorrelhoist.protocol.http2.Http2Stream;
import sorrelhoist.protocol.http2.Http2StreamListener;

/**
 * Serves gRPC over HTTP/2: dispatches calls to their methods and rejects requests that are not
 * valid gRPC.
 */
public final class GrpcServer implements Http2Connection.StreamAcceptor {
    /** The implementation of a method. */
    public interface MethodHandler {
        /**
         * Called when a client starts a call.
         *
         * @param call the call; the handler may close it immediately
         * @return the listener for the rest of the call
         */
        ServerCall.Listener open(ServerCall call);
    }

    /** The implementation of a method whose request is a single message. */
    public interface UnaryHandler {
        /** Handles the complete request. The handler closes the call, immediately or later. */
        void call(ServerCall call, byte[] request);
    }

    private final Map<String, MethodHandler> methods = new HashMap<>();
    private final int maxMessageBytes;

    /**
     * Creates a server without methods.
     *
     * @param maxMessageBytes maximum size of one message, in bytes
     */
    public GrpcServer(int maxMessageBytes) {
        this.maxMessageBytes = maxMessageBytes;
    }

    /**
     * Adds a method. Must be called before the first connection is accepted.
     *
     * @param path the method's path, /package.Service/Method
     * @param method its implementation
     * @return this object
     */
    public GrpcServer addMethod(String path, MethodHandler method) {
        methods.put(path, method);
        return this;
    }

    /**
     * Adds a method whose request is a single message.
     *
     * @param path the method's path, /package.Service/Method
     * @param method its implementation
     * @return this object
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

    /**
     * {@return the status with which a call with these headers is rejected, or null if it is
     * accepted}
     */
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

    /** Ignores what the client sends on a stream that was already rejected. */
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
            // The stream was already answered.
        }
    }
}
