package sorrelhoist.protocol.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;

class HttpBodyDecoderTest {
    private static HttpBodyDecoder body(int status, Map<String, String> headers)
            throws HttpDecodeException {
        return HttpBodyDecoder.forHead(new HttpHead("", "", status, headers));
    }

    private static HttpBodyDecoder chunked() throws HttpDecodeException {
        return body(200, Map.of("transfer-encoding", "chunked"));
    }

    private static String read(HttpBodyDecoder body, ByteBuf in) throws HttpDecodeException {
        StringBuilder all = new StringBuilder();
        for (ByteBuf part = body.next(in); part != null; part = body.next(in)) {
            all.append(part.toString(StandardCharsets.US_ASCII));
        }
        return all.toString();
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    @Test
    void partsAreDecodedIncrementallyForAnySplit() throws Exception {
        String wire = "4;x=y\r\nabcd\r\n3\r\nefg\r\n0\r\nt: u\r\n\r\nHTTP";
        for (int cut = 0; cut <= wire.length(); cut++) {
            HttpBodyDecoder body = chunked();
            ByteBuf second = bytes(wire.substring(cut));
            String got = read(body, bytes(wire.substring(0, cut)));
            got += read(body, second);
            assertEquals("abcdefg", got);
            assertTrue(body.isComplete());
            assertTrue(
                    cut > wire.length() - 4
                            || second.toString(StandardCharsets.US_ASCII).equals("HTTP"));
        }
    }

    @Test
    void contentWithLengthIsReadOnlyToItsEnd() throws Exception {
        HttpBodyDecoder body = body(202, Map.of("content-length", "3"));
        ByteBuf in = bytes("abcHTTP/1.1");
        assertEquals("abc", read(body, in));
        assertTrue(body.isComplete() && in.readableBytes() == 8);
        assertTrue(body(204, Map.of()).isComplete());
        assertTrue(body(200, Map.of()).endsWithConnection());
    }

    @Test
    void malformedFramingIsRejected() throws Exception {
        for (String bad :
                new String[] {"xyz\r\n", "-1\r\n", "\r\n", "c0000000\r\n", "2\r\nabc\r\n", "4\n"}) {
            HttpBodyDecoder body = chunked();
            assertThrows(HttpDecodeException.class, () -> read(body, bytes(bad)), bad);
        }
        HttpBodyDecoder endless = chunked();
        assertThrows(
                HttpDecodeException.class,
                () -> {
                    for (int i = 0; i < 100; i++) {
                        read(endless, bytes(i == 0 ? "1;" : "x".repeat(1000)));
                    }
                });
        for (String length : new String[] {"-1", "+1", "1x", "", "9999999999", "5, 5"}) {
            assertThrows(
                    HttpDecodeException.class,
                    () -> body(200, Map.of("content-length", length)),
                    length);
        }
    }

    /**
     * Invalid input has to be rejected before a line feed arrives. A peer may send nothing after
     * it, and a decoder that waits for the line feed would block its caller until the timeout.
     */
    @Test
    void invalidInputIsRejectedBeforeAnyLineFeed() throws Exception {
        for (String noise : new String[] {"\u0007", "ICY", "HTTP/2", "http/1.1", " HTTP/1.1"}) {
            HttpHeadDecoder heads = new HttpHeadDecoder(false, 1000);
            assertThrows(HttpDecodeException.class, () -> heads.next(bytes(noise)), noise);
        }
        for (String noise : new String[] {"x", "-", "12345678", "1\u0007", "2\r\nabc"}) {
            HttpBodyDecoder body = chunked();
            assertThrows(HttpDecodeException.class, () -> read(body, bytes(noise)), noise);
        }
        assertEquals(
                200,
                new HttpHeadDecoder(false, 1000)
                        .next(bytes("\r\nHTTP/1.1 200 OK\r\n\r\n"))
                        .status());
    }

    @Test
    void unterminatedHeadIsRejectedAtTheLimit() {
        HttpHeadDecoder heads = new HttpHeadDecoder(false, 1000);
        assertThrows(
                HttpDecodeException.class,
                () -> {
                    for (int i = 0; i < 100; i++) {
                        assertFalse(
                                heads.next(
                                                bytes(
                                                        i == 0
                                                                ? "HTTP/1.1 200 OK\r\n"
                                                                : "a: " + "x".repeat(97)))
                                        != null);
                    }
                });
    }
}
