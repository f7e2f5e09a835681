package sorrelhoist.protocol.hpack;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests the examples of RFC 7541, Appendix C, and blocks that must be rejected. */
class HpackTest {
    private static final String AUTHORITY = "www.example.com";
    private static final String RESIZE_TO_256 = "3fe101";

    private static ByteBuf hex(String hex) {
        return Unpooled.wrappedBuffer(ByteBufUtil.decodeHexDump(hex.replace(" ", "")));
    }

    private static Headers of(String... pairs) {
        Headers h = new Headers();
        for (int i = 0; i < pairs.length; i += 2) {
            h.add(pairs[i], pairs[i + 1]);
        }
        return h;
    }

    private static Headers request(String... more) {
        return of(":method", "GET", ":scheme", "http", ":path", "/", ":authority", AUTHORITY)
                .addAll(of(more));
    }

    @Test
    void literalsOfAppendixC2() throws HpackException {
        HpackDecoder d = new HpackDecoder(4096, 1 << 16);
        assertEquals(
                of("custom-key", "custom-header"),
                d.decode(hex("400a637573746f6d2d6b65790d637573746f6d2d686561646572")));
        assertEquals(55, d.tableOctets());
        assertEquals(of(":path", "/sample/path"), d.decode(hex("040c2f73616d706c652f70617468")));
        assertEquals(of("password", "secret"), d.decode(hex("100870617373776f726406736563726574")));
        assertEquals(of(":method", "GET"), d.decode(hex("82")));
        assertEquals(55, d.tableOctets());
    }

    @Test
    void requestsOfAppendicesC3AndC4() throws HpackException {
        HpackDecoder plain = new HpackDecoder(4096, 1 << 16);
        assertEquals(request(), plain.decode(hex("828684410f7777772e6578616d706c652e636f6d")));
        assertEquals(
                request("cache-control", "no-cache"),
                plain.decode(hex("828684be58086e6f2d6361636865")));
        Headers third =
                of(
                        ":method",
                        "GET",
                        ":scheme",
                        "https",
                        ":path",
                        "/index.html",
                        ":authority",
                        AUTHORITY,
                        "custom-key",
                        "custom-value");
        assertEquals(
                third,
                plain.decode(hex("828785bf400a637573746f6d2d6b65790c637573746f6d2d76616c7565")));
        assertEquals(164, plain.tableOctets());
        HpackDecoder coded = new HpackDecoder(4096, 1 << 16);
        assertEquals(request(), coded.decode(hex("828684418cf1e3c2e5f23a6ba0ab90f4ff")));
        assertEquals(
                request("cache-control", "no-cache"),
                coded.decode(hex("828684be5886a8eb10649cbf")));
        assertEquals(third, coded.decode(hex("828785bf408825a849e95ba97d7f8925a849e95bb8e8b4bf")));
        assertEquals(164, coded.tableOctets());
    }

    private static Headers response(String status, String date, String... more) {
        return of(
                        ":status",
                        status,
                        "cache-control",
                        "private",
                        "date",
                        date,
                        "location",
                        "https://www.example.com")
                .addAll(of(more));
    }

    /**
     * Checks the three responses of appendices C.5 and C.6, which evict fields from a dynamic table
     * of 256 octets.
     */
    private static void assertResponses(String first, String second, String third)
            throws HpackException {
        String date = "Mon, 21 Oct 2013 20:13:2";
        HpackDecoder decoder = new HpackDecoder(256, 1 << 16);
        assertEquals(response("302", date + "1 GMT"), decoder.decode(hex(RESIZE_TO_256 + first)));
        assertEquals(222, decoder.tableOctets());
        assertEquals(response("307", date + "1 GMT"), decoder.decode(hex(second)));
        assertEquals(222, decoder.tableOctets());
        assertEquals(
                response(
                        "200",
                        date + "2 GMT",
                        "content-encoding",
                        "gzip",
                        "set-cookie",
                        "foo=ASDJKHQKBZXOQWEOPIUAXQWEOIU; max-age=3600; version=1"),
                decoder.decode(hex(third)));
        assertEquals(215, decoder.tableOctets());
    }

    @Test
    void responsesOfAppendixC5EvictFromATableOf256() throws HpackException {
        assertResponses(
                "4803333032580770726976617465611d4d6f6e2c203231204f6374203230313320"
                        + "32303a31333a323120474d546e1768747470733a2f2f7777772e6578616d70"
                        + "6c652e636f6d",
                "4803333037c1c0bf",
                "88c1611d4d6f6e2c203231204f637420323031332032303a31333a323220474d54"
                        + "c05a04677a69707738666f6f3d4153444a4b48514b425a584f5157454f5049"
                        + "5541585157454f49553b206d61782d6167653d333630303b2076657273696f"
                        + "6e3d31");
    }

    @Test
    void responsesOfAppendixC6EvictFromATableOf256() throws HpackException {
        assertResponses(
                "488264025885aec3771a4b6196d07abe941054d444a8200595040b8166e082a62d"
                        + "1bff6e919d29ad171863c78f0b97c8e9ae82ae43d3",
                "4883640effc1c0bf",
                "88c16196d07abe941054d444a8200595040b8166e084a62d1bffc05a839bd9ab77"
                        + "ad94e7821dd7f2e6c7b335dfdfcd5b3960d5af27087f3672c1ab270fb5291f"
                        + "9587316065c003ed4ee5b1063d5007");
    }

    @Test
    void theEncoderWritesTheBlocksOfAppendixC4() {
        HpackEncoder e = new HpackEncoder();
        ByteBuf out = Unpooled.buffer();
        e.encode(request(), out);
        assertEquals("828684418cf1e3c2e5f23a6ba0ab90f4ff", ByteBufUtil.hexDump(out));
        out.clear();
        e.encode(request("cache-control", "no-cache"), out);
        assertEquals("828684be5886a8eb10649cbf", ByteBufUtil.hexDump(out));
    }

    @Test
    void smallerPeerTableLimitIsAnnouncedAndObserved() throws HpackException {
        HpackEncoder e = new HpackEncoder();
        HpackDecoder d = new HpackDecoder(100, 1 << 16);
        e.peerTableLimit(100);
        for (int i = 0; i < 20; i++) {
            ByteBuf out = Unpooled.buffer();
            Headers h = of("some-name-" + i % 3, "value-" + i % 2, "again", "same");
            e.encode(h, out);
            assertEquals(h, d.decode(out));
            assertTrue(d.tableOctets() <= 100);
        }
    }

    @Test
    void malformedBlocksAreRejected() {
        String[] bad = {
            "80",
            "ff80808080",
            "be",
            "3fffffff7f",
            "400a6375",
            "0085f2b24a84ff",
            "82ffff",
            "8220",
            "418cf1e3c2e5f23a6ba0ab90",
            "0081ff00",
            "0082ffff00",
            "0084fffffffc00"
        };
        for (String block : bad) {
            assertThrows(
                    HpackException.class,
                    () -> new HpackDecoder(4096, 1 << 16).decode(hex(block)),
                    block);
        }
        HpackException oversized =
                assertThrows(
                        HpackException.class,
                        () -> {
                            HpackDecoder d = new HpackDecoder(4096, 1000);
                            d.decode(hex("40016101" + "62" + "be".repeat(40)));
                        });
        assertTrue(oversized.tooLarge());
    }

    @Property(tries = 300, seed = "42")
    void encodedHeadersAreDecodedUnchanged(
            @ForAll @Size(max = 20) List<@CharRange(from = 0, to = 255) String> values)
            throws HpackException {
        HpackEncoder e = new HpackEncoder();
        HpackDecoder d = new HpackDecoder(4096, 1 << 20);
        for (int round = 0; round < 3; round++) {
            Headers h = new Headers();
            values.forEach(v -> h.add("n" + v.length() % 7, v));
            ByteBuf out = Unpooled.buffer();
            e.encode(h, out);
            assertEquals(h, d.decode(out));
        }
    }
}
