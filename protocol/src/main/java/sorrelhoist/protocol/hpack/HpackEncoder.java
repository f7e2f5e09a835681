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
    private static final Set<String> NOT_INDEXED =
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
    private static final Set<String> NEVER_INDEXED =
            Set.of("authorization", "cookie", "proxy-authorization", "set-cookie");

    /** Larger tables than this are not used, whatever the peer allows, in octets. */
    private static final int MAX_TABLE_OCTETS = 4096;

    /** A field above this share of the table is not put into it. */
    private static final int MAX_FIELD_SHARE = 4;

    private static final int NO_UPDATE = -1;

    private static final int INDEXED = 0x80;
    private static final int LITERAL_INDEXED = 0x40;
    private static final int TABLE_SIZE_UPDATE = 0x20;
    private static final int LITERAL_NEVER_INDEXED = 0x10;
    private static final int LITERAL_NOT_INDEXED = 0x00;
    private static final int HUFFMAN = 0x80;

    private final DynamicTable table = new DynamicTable(HpackDecoder.DEFAULT_TABLE);
    private int pendingTableSizeUpdate = NO_UPDATE;

    /** Makes an encoder with an empty table. */
    public HpackEncoder() {}

    /**
     * Takes the peer's SETTINGS_HEADER_TABLE_SIZE; the next block announces the new size.
     *
     * @param octets as the peer sent it
     */
    public void peerTableLimit(long octets) {
        int limit = (int) Math.min(MAX_TABLE_OCTETS, octets);
        if (limit != table.limit()) {
            table.limit(limit);
            pendingTableSizeUpdate = limit;
        }
    }

    /**
     * Appends one block.
     *
     * @param headers the fields; pseudo-headers first
     * @param out written to
     */
    public void encode(Headers headers, ByteBuf out) {
        if (pendingTableSizeUpdate != NO_UPDATE) {
            writeInteger(out, TABLE_SIZE_UPDATE, 5, pendingTableSizeUpdate);
            pendingTableSizeUpdate = NO_UPDATE;
        }
        for (HeaderField field : headers.fields()) {
            encode(field, out);
        }
    }

    private void encode(HeaderField field, ByteBuf out) {
        int staticIndex = StaticTable.indexOf(field);
        if (staticIndex > 0) {
            writeInteger(out, INDEXED, 7, staticIndex);
            return;
        }
        if (NEVER_INDEXED.contains(field.name())) {
            writeLiteral(out, LITERAL_NEVER_INDEXED, 4, field);
        } else if (NOT_INDEXED.contains(field.name())
                || field.size() > table.limit() / MAX_FIELD_SHARE) {
            writeLiteral(out, LITERAL_NOT_INDEXED, 4, field);
        } else {
            int index = table.find(field);
            if (index >= 0) {
                writeInteger(out, INDEXED, 7, StaticTable.SIZE + 1 + index);
            } else {
                writeLiteral(out, LITERAL_INDEXED, 6, field);
                table.add(field);
            }
        }
    }

    private void writeLiteral(ByteBuf out, int pattern, int prefixBits, HeaderField field) {
        int nameIndex = StaticTable.indexOfName(field.name());
        if (nameIndex == 0) {
            int index = table.findName(field.name());
            nameIndex = index < 0 ? 0 : StaticTable.SIZE + 1 + index;
        }
        writeInteger(out, pattern, prefixBits, nameIndex);
        if (nameIndex == 0) {
            writeString(out, field.name());
        }
        writeString(out, field.value());
    }

    private static void writeString(ByteBuf out, String text) {
        int huffmanLength = Huffman.length(text);
        if (huffmanLength < text.length()) {
            writeInteger(out, HUFFMAN, 7, huffmanLength);
            Huffman.encode(text, out);
        } else {
            writeInteger(out, 0, 7, text.length());
            out.writeCharSequence(text, StandardCharsets.ISO_8859_1);
        }
    }

    private static void writeInteger(ByteBuf out, int pattern, int prefixBits, int value) {
        int prefixMask = (1 << prefixBits) - 1;
        if (value < prefixMask) {
            out.writeByte(pattern | value);
            return;
        }
        out.writeByte(pattern | prefixMask);
        int rest = value - prefixMask;
        while (rest >= 0x80) {
            out.writeByte(rest & 0x7F | 0x80);
            rest >>>= 7;
        }
        out.writeByte(rest);
    }
}
