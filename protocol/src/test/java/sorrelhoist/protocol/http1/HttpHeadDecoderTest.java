package sorrelhoist.protocol.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class HttpHeadDecoderTest {
    private final HttpHeadDecoder decoder = new HttpHeadDecoder(true, 16 << 10);

    private HttpHead read(String text) throws HttpDecodeException {
        return decoder.next(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    @Test
    void fieldsKeepTheirOrderAndRepeatedOnesAreJoined() throws Exception {
        HttpHead head =
                read("GET /a HTTP/1.1\r\nB: 1\r\nab: x:y\r\nb:\r\nEmpty:\r\nB: \t3 \r\n\r\n");
        assertEquals(List.of("b", "ab", "empty"), List.copyOf(head.headers().keySet()));
        assertEquals("1, , 3", head.header("b"));
        assertEquals("1, , 3", head.headers().get("b"));
        assertEquals("x:y", head.header("ab"));
        assertEquals("", head.header("empty"));
        assertNull(head.header("a"));
        assertNull(head.header("y"));
    }

    @Test
    void equalContentLengthsCountOnceAndDifferentOnesAreRejected() throws Exception {
        String start = "GET /a HTTP/1.1\r\nContent-Length: 3\r\n";
        assertEquals("3", read(start + "content-length: 3\r\n\r\n").header("content-length"));
        assertThrows(HttpDecodeException.class, () -> read(start + "content-length: 4\r\n\r\n"));
    }

    /** Guards against fields that take many times the memory of their text. */
    @Test
    void aHeadTakesLittleMoreMemoryThanItsText() throws Exception {
        String text = "GET /a HTTP/1.1\r\n" + "a:\r\n".repeat(4_000);
        assertNull(read(text));
        assertTrue(decoder.heldBytes() <= 2 * text.length(), "held " + decoder.heldBytes());
        HttpHead head = read("\r\n");
        assertTrue(head.heldBytes() <= text.length(), "held " + head.heldBytes());
        assertEquals(", ".repeat(3_999), head.header("a"));
        assertNull(read("GET /a HTTP/1.1\r\nlong: " + "x".repeat(15_000)));
        decoder.discard();
        assertTrue(decoder.heldBytes() < 256 && !decoder.hasPartialHead());
    }
}
