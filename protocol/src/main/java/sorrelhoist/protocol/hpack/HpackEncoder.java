package sorrelhoist.protocol.hpack;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Set;

/**
 * Encodes header blocks (RFC 7541). An instance serves one direction of one connection and is not
 * thread-safe.
 */
public final class HpackEncoder {
    /**
     * Fields whose values differ with every request. In the dynamic table they would evict fields
     * that recur.
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

    /**
     * Sensitive fields that neither this side nor an intermediary may add to a table (section
     * 7.1.3).
     */
    private static final Set<String> NEVER_INDEXED =
            Set.of("authorization", "cookie", "proxy-authorization", "set-cookie");

    /** Maximum size of the dynamic table in octets, even if the peer allows a larger one. */
    private static final int MAX_TABLE_OCTETS = 4096;

    /** A field larger than the table's limit divided by this number is not added to the table. */
    private static final int MAX_FIELD_SIZE_DIVISOR = 4;

    private static final int NO_UPDATE = -1;

    private static final int INDEXED = 0x80;
    private static final int LITERAL_INDEXED = 0x40;
    private static final int TABLE_SIZE_UPDATE = 0x20;
    private static final int LITERAL_NEVER_INDEXED = 0x10;
    private static final int LITERAL_NOT_INDEXED = 0x00;
    private static final int HUFFMAN = 0x80;

    private final DynamicTable table = new DynamicTable(HpackDecoder.DEFAULT_TABLE);
    private int pendingTableSizeUpdate = NO_UPDATE;

    /** Creates an encoder with an empty dynamic table. */
    public HpackEncoder() {}

    /**
     * Applies the peer's SETTINGS_HEADER_TABLE_SIZE. The next block announces the new size.
     *
     * @param octets the value of the setting
     */
    public void peerTableLimit(long octets) {
        int limit = (int) Math.min(MAX_TABLE_OCTETS, octets);
        if (limit != table.limit()) {
            table.limit(limit);
            pendingTableSizeUpdate = limit;
        }
    }

    /**
     * Encodes a header list as one block and appends it to a buffer.
     *
     * @param headers the fields; pseudo-headers first
     * @param out the buffer
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
                || field.size() > table.limit() / MAX_FIELD_SIZE_DIVISOR) {
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
