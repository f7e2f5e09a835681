package sorrelhoist.protocol.http2;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class FrameRateLimiterTest {
    private long nanos;
    private final FrameRateLimiter limiter = new FrameRateLimiter(1000, 10, () -> nanos);

    @Test
    void emptyBucketIsAConnectionError() throws Http2Exception {
        limiter.charge(10, "PING");
        Http2Exception e = assertThrows(Http2Exception.class, () -> limiter.charge(1, "PING"));
        assertEquals(ErrorCode.ENHANCE_YOUR_CALM, e.code());
        assertEquals(0, e.stream());
    }

    @Test
    void theBucketRefillsWithTimeUpToItsCapacity() throws Http2Exception {
        limiter.charge(10, "PING");
        nanos = 5_000_000;
        limiter.charge(5, "PING");
        nanos = 1_000_000_000;
        limiter.charge(10, "PING");
        assertThrows(Http2Exception.class, () -> limiter.charge(1, "PING"));
    }

    @Test
    void eachDataFrameSentReturnsOnePoint() throws Http2Exception {
        limiter.charge(10, "PING");
        limiter.dataSent();
        assertDoesNotThrow(() -> limiter.charge(1, "WINDOW_UPDATE"));
        assertThrows(Http2Exception.class, () -> limiter.charge(1, "WINDOW_UPDATE"));
    }
}
