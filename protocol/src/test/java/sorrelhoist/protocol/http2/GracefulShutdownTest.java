package sorrelhoist.protocol.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.protocol.hpack.Headers;

class GracefulShutdownTest {
    private static final long PING_CONTENT = 0x736f7272656c01L;
    private final ChannelFixture fixture = new ChannelFixture();
    private final List<String> events = new ArrayList<>();

    private GracefulShutdown shutdown(boolean server, StreamTable streams) {
        StreamLifecycle lifecycle =
                new StreamLifecycle(server, streams, fixture.writer, () -> events.add("closed"));
        return new GracefulShutdown(
                server,
                fixture.channel,
                fixture.writer,
                streams,
                lifecycle,
                () -> events.add("peer shuts down"));
    }

    @Test
    void serverAnnouncesLastStreamAfterFirstGoAwayIsAcknowledged() {
        StreamTable streams = new StreamTable(true);
        streams.peerOpened(5);
        GracefulShutdown shutdown = shutdown(true, streams);
        shutdown.start();
        assertEquals(
                List.of("GOAWAY " + Frames.MAX_STREAM_ID + " NO_ERROR", "PING false"),
                fixture.sent());
        assertFalse(shutdown.refusesStreams());
        shutdown.onPingAck(1);
        assertFalse(
                shutdown.refusesStreams(),
                "a PING acknowledgement with other content must be ignored");
        shutdown.onPingAck(PING_CONTENT);
        assertTrue(shutdown.refusesStreams());
        assertEquals(List.of("GOAWAY 5 NO_ERROR"), fixture.sent());
        assertFalse(fixture.embedded.isOpen());
        assertEquals("drained", fixture.channel.closeReason());
    }

    @Test
    void theConnectionStaysOpenForStreamsThatAreOpen() {
        StreamTable streams = new StreamTable(false);
        Http2Stream open = new Http2Stream(null, streams.nextLocalId(), 0, 0);
        streams.put(open);
        GracefulShutdown shutdown = shutdown(false, streams);
        shutdown.start();
        assertTrue(shutdown.isStarted());
        assertFalse(fixture.channel.isClosing());
        streams.remove(open);
        shutdown.closeIfComplete();
        assertTrue(fixture.channel.isClosing());
    }

    @Test
    void streamsThatThePeerWillNotProcessAreClosedAsUnprocessed() {
        StreamTable streams = new StreamTable(false);
        for (int i = 0; i < 2; i++) {
            Http2Stream stream = new Http2Stream(null, streams.nextLocalId(), 0, 0);
            stream.listener(new ResetLog(stream.id()));
            streams.put(stream);
        }
        GracefulShutdown shutdown = shutdown(false, streams);
        shutdown.onGoAway(1, ErrorCode.NO_ERROR);
        shutdown.onGoAway(1, ErrorCode.NO_ERROR);
        assertEquals(
                List.of("closed", "3 REFUSED_STREAM unprocessed true", "peer shuts down"), events);
        assertFalse(fixture.channel.isClosing(), "stream 1 must stay open");
    }

    /** Records the reset of a stream. */
    private final class ResetLog implements Http2StreamListener {
        private final int streamId;

        ResetLog(int streamId) {
            this.streamId = streamId;
        }

        @Override
        public void onHeaders(Headers headers, boolean endStream) {
            throw new AssertionError("no headers were sent");
        }

        @Override
        public void onData(ByteBuf data, boolean endStream) {
            throw new AssertionError("no data was sent");
        }

        @Override
        public void onReset(ErrorCode code, boolean unprocessed, String reason) {
            events.add(streamId + " " + code + " unprocessed " + unprocessed);
        }
    }
}
