/**
 * HTTP/2 (RFC 9113) in cleartext with prior knowledge, both sides, as a Netty channel handler.
 *
 * <p>{@link sorrelhoist.protocol.http2.Http2Connection} puts a connection together of parts that
 * each own one state: {@code FrameDecoder} the bytes of an incomplete frame, {@code
 * HeaderBlockReader} and {@code FrameWriter} the header compression of either direction, {@code
 * StreamTable} and {@code Http2Stream} the streams, {@code InboundFlowController} and {@code
 * OutboundFlowController} the connection's windows, {@code RemoteSettings} the peer's settings,
 * {@code GracefulShutdown} the two steps of GOAWAY, {@code FrameRateLimiter} the points that frames
 * without content cost, {@code ConnectionChannel} the flush and the end. All of it runs on the
 * channel's event loop.
 */
package sorrelhoist.protocol.http2;
