/**
 * HTTP/2 (RFC 9113) in cleartext with prior knowledge, client and server, as a Netty channel
 * handler.
 *
 * <p>{@link sorrelhoist.protocol.http2.Http2Connection} composes a connection of parts that each
 * own one piece of state: {@code FrameDecoder} the bytes of an incomplete frame, {@code
 * HeaderBlockReader} and {@code FrameWriter} the header compression of each direction, {@code
 * StreamTable} and {@code Http2Stream} the streams, {@code InboundFlowController} and {@code
 * OutboundFlowController} the connection's flow-control windows, {@code RemoteSettings} the peer's
 * settings, {@code GracefulShutdown} the two steps of GOAWAY, {@code FrameRateLimiter} the budget
 * for frames without content, {@code ConnectionChannel} flushing and closing. All parts run on the
 * channel's event loop.
 */
package sorrelhoist.protocol.http2;
