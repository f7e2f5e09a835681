package sorrelhoist.protocol.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

class InboundFlowControllerTest {
    private static final int CONNECTION_WINDOW = 100_000;
    private static final int STREAM_WINDOW = 1000;
    private final ChannelFixture fixture = new ChannelFixture();
    private final InboundFlowController flow =
            new InboundFlowController(CONNECTION_WINDOW, STREAM_WINDOW, fixture.writer);
    private final Http2Stream stream = new Http2Stream(null, 1, 0, STREAM_WINDOW);

    @Test
    void theConnectionsWindowGrowsFromTheRfcsDefaultAtTheStart() {
        flow.growConnectionWindow();
        assertEquals(List.of("WINDOW_UPDATE 0 34465"), fixture.sent());
    }

    @Test
    void connectionCreditIsReturnedAtHalfTheWindow() throws Http2Exception {
        flow.onConnectionData(49_999);
        assertEquals(List.of(), fixture.sent());
        flow.onConnectionData(1);
        assertEquals(List.of("WINDOW_UPDATE 0 50000"), fixture.sent());
    }

    @Test
    void streamCreditIsReturnedAsItsUserConsumesBytes() throws Http2Exception {
        flow.onStreamData(stream, 900, 100);
        flow.returnCredit(stream);
        assertEquals(List.of(), fixture.sent());
        stream.addUncreditedBytes(400);
        flow.returnCredit(stream);
        assertEquals(List.of("WINDOW_UPDATE 1 500"), fixture.sent());
    }

    @Test
    void exceededWindowIsAStreamOrConnectionError() throws Http2Exception {
        flow.onStreamData(stream, STREAM_WINDOW, 0);
        Http2Exception ofStream =
                assertThrows(Http2Exception.class, () -> flow.onStreamData(stream, 1, 0));
        assertEquals(1, ofStream.stream());
        Http2Exception ofConnection =
                assertThrows(
                        Http2Exception.class, () -> flow.onConnectionData(CONNECTION_WINDOW + 1));
        assertEquals(0, ofConnection.stream());
        assertEquals(ErrorCode.FLOW_CONTROL_ERROR, ofConnection.code());
    }
}
