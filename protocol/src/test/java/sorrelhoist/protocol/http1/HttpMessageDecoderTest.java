package sorrelhoist.protocol.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Tests HTTP/1.1 messages that arrive in pieces of any size, and messages that two decoders could
 * interpret differently.
 */
class HttpMessageDecoderTest {
    private static final String TWO =
            "POST /a?x=1%202 HTTP/1.1\r\n"
                    + "Host: h\r\n"
                    + "Content-Length: 5\r\n\r\n"
                    + "helloPUT /b HTTP/1.1\r\n"
                    + "host: h\r\n"
                    + "transfer-encoding: chunked\r\n\r\n"
                    + "3\r\n"
                    + "abc\r\n"
                    + "2;x=y\r\n"
                    + "de\r\n"
                    + "0\r\n"
                    + "t: v\r\n\r\n";

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    @Test
    void requestsAreDecodedFromPiecesOfAnySize() throws HttpDecodeException {
        for (int piece = 1; piece <= TWO.length(); piece++) {
            HttpMessageDecoder parser = new HttpMessageDecoder(true, 1000);
            List<String> got = new ArrayList<>();
            ByteBuf all = bytes(TWO);
            while (all.isReadable()) {
                ByteBuf in = all.readSlice(Math.min(piece, all.readableBytes()));
                for (HttpMessage m = parser.next(in); m != null; m = parser.next(in)) {
                    got.add(
                            m.method()
                                    + " "
                                    + m.path()
                                    + " "
                                    + m.queryParameter("x")
                                    + " "
                                    + m.bodyText());
                }
            }
            assertEquals(List.of("POST /a 1 2 hello", "PUT /b null abcde"), got);
        }
    }

    @Test
    void responsesEndByLengthChunksOrClose() throws HttpDecodeException {
        HttpMessageDecoder parser = new HttpMessageDecoder(false, 1000);
        assertEquals(204, parser.next(bytes("HTTP/1.1 204 No Content\r\n\r\n")).status());
        assertNull(parser.next(bytes("HTTP/1.0 200 OK\r\n\r\nall of")));
        assertNull(parser.next(bytes(" it")));
        assertEquals("all of it", parser.completeAtClose().bodyText());
    }

    @Test
    void ambiguousAndMalformedMessagesAreRejected() {
        String head = "GET / HTTP/1.1\r\n";
        String[] bad = {
            "GET /\r\n\r\n",
            "GET  HTTP/1.1\r\n\r\n",
            head + "a b: c\r\n\r\n",
            head + "name : v\r\n\r\n",
            head + ": v\r\n\r\n",
            head + "content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n",
            head + "content-length: 5\r\ncontent-length: 6\r\n\r\n",
            head + "content-length: -1\r\n\r\n",
            head + "content-length: 99999999\r\n\r\n",
            head + "transfer-encoding: gzip\r\n\r\n",
            head + "transfer-encoding: chunked\r\n\r\nxyz\r\n",
            "GET / HTTP/1.1\n\n",
            head + "transfer-encoding: chunked\r\n\r\n1\r\nab\r\n",
            head + "a: " + "b".repeat(20_000)
        };
        for (String text : bad) {
            assertThrows(
                    HttpDecodeException.class,
                    () -> {
                        HttpMessageDecoder p = new HttpMessageDecoder(true, 1000);
                        ByteBuf in = bytes(text);
                        p.next(in);
                        p.next(in);
                    },
                    text.substring(0, Math.min(60, text.length())));
        }
    }

    @Property(tries = 300, seed = "42")
    void arbitraryBytesAreDecodedOrRejected(@ForAll byte[] noise) {
        HttpMessageDecoder p = new HttpMessageDecoder(true, 1000);
        try {
            ByteBuf in = Unpooled.wrappedBuffer(noise);
            for (HttpMessage m = p.next(in); m != null; m = p.next(in)) {
                assertEquals(0, m.status());
            }
        } catch (HttpDecodeException e) {
            assertEquals(4, e.status() / 100);
        }
    }
}
