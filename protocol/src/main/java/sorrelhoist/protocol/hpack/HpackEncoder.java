package sorrelhoist.protocol.hpack;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Set;

/**
 * Encodes header blocks (RFC 7541); one instance for one direction of one connection, one thread at
 * a time.
 */
public final class HpackEncoder {
    /**
     * Fields that differ with every request: kept in the table they would push out those that
     * recur.
     */
    private static final Set<String> FLEETING =
            Set.of(
                    ":path",
                    "grpc-timeout",
                    "grpc-message",
                    "traceparent",
                    "grpc-retry-pushback-ms",
                    "content-length",
                    "sorrelhoist-load-bin",
                    "sorrelhoist-request");

    /** Never put in any table, here or by an intermediary (section 7.1.3). */
    private static final Set<String> SECRET =
            Set.of("authorization", "cookie", "proxy-authorization", "set-cookie");

    private static final int MAX_TABLE = 4096;
    private final DynamicTable table = new DynamicTable(HpackDecoder.DEFAULT_TABLE);
    private int announce = -1;

    /** Makes an encoder with an empty table. */
    public HpackEncoder() {}

    /**
     * Takes the peer's SETTINGS_HEADER_TABLE_SIZE; the next block announces the new size.
     *
     * @param octets as the peer sent it
     */
    public void peerTableLimit(long octets) {
        int limit = (int) Math.min(MAX_TABLE, octets);
        if (limit != table.limit()) {
            table.limit(limit);
            announce = limit;
        }
    }

    /**
     * Appends one block.
     *
     * @param headers the fields; pseudo-headers first
     * @param out written to
     */
    public void encode(Headers headers, ByteBuf out) {
        if (announce >= 0) {
            integer(out, 0x20, 5, announce);
            announce = -1;
        }
        for (HeaderField f : headers.fields()) {
            encode(f, out);
        }
    }

    private void encode(HeaderField field, ByteBuf out) {
        int whole = StaticTable.field(field);
        if (whole > 0) {
            integer(out, 0x80, 7, whole);
            return;
        }
        if (SECRET.contains(field.name())) {
            literal(out, 0x10, 4, field);
        } else if (FLEETING.contains(field.name()) || field.size() > table.limit() / 4) {
            literal(out, 0x00, 4, field);
        } else {
            int at = table.find(field);
            if (at >= 0) {
                integer(out, 0x80, 7, StaticTable.SIZE + 1 + at);
            } else {
                literal(out, 0x40, 6, field);
                table.add(field);
            }
        }
    }

    private void literal(ByteBuf out, int pattern, int prefixBits, HeaderField field) {
        int name = StaticTable.name(field.name());
        if (name == 0) {
            int at = table.findName(field.name());
            name = at < 0 ? 0 : StaticTable.SIZE + 1 + at;
        }
        integer(out, pattern, prefixBits, name);
        if (name == 0) {
            string(out, field.name());
        }
        string(out, field.value());
    }

    private static void string(ByteBuf out, String text) {
        int coded = Huffman.length(text);
        if (coded < text.length()) {
            integer(out, 0x80, 7, coded);
            Huffman.encode(text, out);
        } else {
            integer(out, 0, 7, text.length());
            out.writeCharSequence(text, StandardCharsets.ISO_8859_1);
        }
    }

    private static void integer(ByteBuf out, int pattern, int prefixBits, int value) {
        int most = (1 << prefixBits) - 1;
        if (value < most) {
            out.writeByte(pattern | value);
            return;
        }
        out.writeByte(pattern | most);
        int rest = value - most;
        while (rest >= 0x80) {
            out.writeByte(rest & 0x7F | 0x80);
            rest >>>= 7;
        }
        out.writeByte(rest);
    }
}
