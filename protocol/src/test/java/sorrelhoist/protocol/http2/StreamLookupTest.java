package sorrelhoist.protocol.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class StreamLookupTest {
    private final StreamTable streams = new StreamTable(true);
    private final StreamLookup lookup =
            new StreamLookup(streams, new FrameRateLimiter(1, 4, () -> 0));

    @Test
    void anOpenStreamIsFoundWithoutCharge() throws Http2Exception {
        Http2Stream stream = new Http2Stream(null, 1, 0, 0);
        streams.peerOpened(1);
        streams.put(stream);
        for (int i = 0; i < 10; i++) {
            assertSame(stream, lookup.find(1, "DATA"));
            assertSame(stream, lookup.findOrEnded(1, "WINDOW_UPDATE"));
        }
    }

    @Test
    void frameForIdleStreamIsAConnectionError() {
        Http2Exception e = assertThrows(Http2Exception.class, () -> lookup.find(1, "DATA"));
        assertEquals(ErrorCode.PROTOCOL_ERROR, e.code());
        assertEquals(0, e.stream());
        assertThrows(Http2Exception.class, () -> lookup.findOrEnded(1, "RST_STREAM"));
    }

    @Test
    void framesForLocallyResetStreamAreIgnored() throws Http2Exception {
        streams.peerOpened(3);
        streams.rememberReset(1);
        assertNull(lookup.find(1, "DATA"));
        Http2Exception e = assertThrows(Http2Exception.class, () -> lookup.find(3, "DATA"));
        assertEquals(ErrorCode.STREAM_CLOSED, e.code());
        assertEquals(3, e.stream());
    }

    @Test
    void framesForClosedStreamsAreChargedALowCost() throws Http2Exception {
        streams.peerOpened(1);
        for (int i = 0; i < 4; i++) {
            assertNull(lookup.findOrEnded(1, "WINDOW_UPDATE"));
        }
        Http2Exception e =
                assertThrows(Http2Exception.class, () -> lookup.findOrEnded(1, "WINDOW_UPDATE"));
        assertEquals(ErrorCode.ENHANCE_YOUR_CALM, e.code());
    }
}
