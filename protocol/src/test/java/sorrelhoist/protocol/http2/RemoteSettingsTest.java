package sorrelhoist.protocol.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import sorrelhoist.protocol.hpack.HpackEncoder;

class RemoteSettingsTest {
    private final RemoteSettings server = new RemoteSettings(true, new HpackEncoder());
    private final RemoteSettings client = new RemoteSettings(false, new HpackEncoder());

    private static void assertRejected(
            ErrorCode code, RemoteSettings settings, int identifier, long value) {
        Http2Exception e =
                assertThrows(Http2Exception.class, () -> settings.apply(identifier, value));
        assertEquals(code, e.code());
    }

    @Test
    void onlyTheFirstSettingsFrameIsReportedAsFirst() {
        assertFalse(server.isReceived());
        assertTrue(server.markReceived());
        assertFalse(server.markReceived());
    }

    @Test
    void newInitialWindowSizeReturnsChangeForOpenStreams() throws Http2Exception {
        assertEquals(-35_535, server.apply(Frames.INITIAL_WINDOW_SIZE, 30_000));
        assertEquals(20_000, server.apply(Frames.INITIAL_WINDOW_SIZE, 50_000));
        assertEquals(50_000, server.initialWindowSize());
    }

    @Test
    void framesAreNeverLargerThanTheDefault() throws Http2Exception {
        server.apply(Frames.MAX_FRAME_SIZE, 1 << 20);
        assertEquals(Frames.DEFAULT_FRAME_SIZE, server.maxFrameSize());
    }

    @Test
    void invalidSettingsAreConnectionErrors() throws Http2Exception {
        assertRejected(ErrorCode.FLOW_CONTROL_ERROR, server, Frames.INITIAL_WINDOW_SIZE, 1L << 31);
        assertRejected(ErrorCode.PROTOCOL_ERROR, server, Frames.MAX_FRAME_SIZE, 100);
        assertRejected(ErrorCode.PROTOCOL_ERROR, server, Frames.ENABLE_PUSH, 2);
        assertRejected(ErrorCode.PROTOCOL_ERROR, client, Frames.ENABLE_PUSH, 1);
        assertEquals(0, server.apply(Frames.ENABLE_PUSH, 1));
        assertEquals(0, server.apply(0xff, 7), "unknown settings must be ignored");
    }
}
