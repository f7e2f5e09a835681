package sorrelhoist.protocol.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import org.junit.jupiter.api.Test;

class OutboundFlowControllerTest {
    private final ChannelFixture fixture = new ChannelFixture();
    private final StreamTable streams = new StreamTable(true);
    private final FrameRateLimiter rateLimiter = new FrameRateLimiter(1, 1, System::nanoTime);
    private final OutboundFlowController flow =
            new OutboundFlowController(
                    fixture.channel,
                    fixture.writer,
                    fixture.remote,
                    new StreamLifecycle(true, streams, fixture.writer, () -> {}),
                    rateLimiter,
                    1_000_000);
    private final Http2Connection connection =
            Http2Connection.server(
                    Http2Limits.SERVER,
                    (stream, headers, endStream) -> null,
                    new Http2Connection.Listener() {});

    OutboundFlowControllerTest() {
        // Streams schedule their data on their connection as well. Its controller is not under
        // test,
        // so its channel is never writable.
        EmbeddedChannel unwritable = new EmbeddedChannel(connection);
        unwritable.unsafe().outboundBuffer().setUserDefinedWritability(1, false);
    }

    private Http2Stream stream(int id, long sendWindow) {
        Http2Stream stream = new Http2Stream(connection, id, sendWindow, 0);
        stream.listener(new Pair().new StreamEventLog("server", stream));
        streams.put(stream);
        return stream;
    }

    private void send(Http2Stream stream, int bytes, boolean endStream) {
        stream.writeData(Unpooled.wrappedBuffer(new byte[bytes]), endStream);
        stream.scheduled(false);
        flow.schedule(stream);
    }

    @Test
    void aStreamSendsNoMoreThanItsWindow() throws Http2Exception {
        Http2Stream stream = stream(1, 10);
        send(stream, 25, false);
        assertEquals(List.of("DATA 1 10 false"), fixture.sent());
        stream.changeSendWindow(100);
        flow.writePending();
        assertEquals(List.of("DATA 1 15 false"), fixture.sent());
    }

    @Test
    void allStreamsTogetherSendNoMoreThanTheConnectionsWindow() throws Http2Exception {
        send(stream(1, 1 << 20), Frames.DEFAULT_WINDOW_SIZE, false);
        fixture.sent();
        send(stream(3, 1 << 20), 7, false);
        assertEquals(List.of(), fixture.sent());
        flow.growConnectionWindow(5);
        flow.writePending();
        assertEquals(List.of("DATA 3 5 false"), fixture.sent());
    }

    @Test
    void emptyDataWithEndStreamNeedsNoWindow() {
        send(stream(1, 0), 0, true);
        assertEquals(List.of("DATA 1 0 true", "RST_STREAM 1 NO_ERROR"), fixture.sent());
    }

    @Test
    void connectionWindowOverflowIsAConnectionError() {
        Http2Exception e =
                assertThrows(
                        Http2Exception.class,
                        () -> flow.growConnectionWindow(Frames.MAX_WINDOW_SIZE));
        assertEquals(ErrorCode.FLOW_CONTROL_ERROR, e.code());
    }
}
