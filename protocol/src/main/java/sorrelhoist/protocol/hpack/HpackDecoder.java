package sorrelhoist.protocol.hpack;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * Decodes header blocks (RFC 7541). An instance serves one direction of one connection and is not
 * thread-safe.
 */
public final class HpackDecoder {
    /** The dynamic table's size limit before any SETTINGS are exchanged, in octets. */
    public static final int DEFAULT_TABLE = 4096;

    private static final int INDEXED = 0x80;
    private static final int LITERAL_INDEXED = 0x40;
    private static final int LITERAL_INDEXED_MASK = 0xC0;
    private static final int TABLE_SIZE_UPDATE = 0x20;
    private static final int TABLE_SIZE_UPDATE_MASK = 0xE0;
    private static final int HUFFMAN = 0x80;

    private final DynamicTable table;
    private final int maxListOctets;
    private final int maxTableOctets;
    private boolean resizeRequired;

    /**
     * Creates a decoder with an empty dynamic table.
     *
     * @param tableOctets the SETTINGS_HEADER_TABLE_SIZE that this side sent
     * @param maxListOctets maximum size of a decoded header list, in octets as section 4.1 counts
     *     them
     */
    public HpackDecoder(int tableOctets, int maxListOctets) {
        this.table = new DynamicTable(Math.min(DEFAULT_TABLE, tableOctets));
        this.maxListOctets = maxListOctets;
        this.maxTableOctets = tableOctets;
        this.resizeRequired = tableOctets < DEFAULT_TABLE;
    }

    /**
     * Decodes one complete block.
     *
     * @param block the block, which is read to its end
     * @return the decoded fields
     * @throws HpackException if the block is malformed or decodes to more than the limit
     */
    public Headers decode(ByteBuf block) throws HpackException {
        Headers headers = new Headers();
        int octets = 0;
        while (block.isReadable()) {
            int first = block.readUnsignedByte();
            HeaderField field;
            if ((first & INDEXED) != 0) {
                field = lookUp(readInteger(block, first, 7));
            } else if ((first & LITERAL_INDEXED_MASK) == LITERAL_INDEXED) {
                field = readLiteral(block, readInteger(block, first, 6));
                table.add(field);
            } else if ((first & TABLE_SIZE_UPDATE_MASK) == TABLE_SIZE_UPDATE) {
                resize(readInteger(block, first, 5), headers.size() > 0);
                continue;
            } else {
                field = readLiteral(block, readInteger(block, first, 4));
            }
            if (resizeRequired) {
                throw new HpackException(
                        "the block should begin with a table size update (section 4.2)");
            }
            octets += field.size();
            if (octets > maxListOctets) {
                throw new HpackException(
                        "header list of more than " + maxListOctets + " octets", true);
            }
            headers.add(field);
        }
        return headers;
    }

    /** {@return the current size of the dynamic table, in octets} */
    public int tableOctets() {
        return table.size();
    }

    private void resize(int octets, boolean afterField) throws HpackException {
        if (afterField) {
            throw new HpackException("a table size update after a field");
        }
        if (octets > maxTableOctets) {
            throw new HpackException(
                    "table size " + octets + " is above the limit " + maxTableOctets);
        }
        resizeRequired = false;
        table.limit(octets);
    }

    private HeaderField lookUp(int index) throws HpackException {
        if (index >= 1 && index <= StaticTable.SIZE) {
            return StaticTable.get(index);
        }
        int dynamicIndex = index - StaticTable.SIZE - 1;
        if (dynamicIndex < 0 || dynamicIndex >= table.count()) {
            throw new HpackException("no table entry has index " + index);
        }
        return table.get(dynamicIndex);
    }

    private HeaderField readLiteral(ByteBuf in, int nameIndex) throws HpackException {
        String name = nameIndex > 0 ? lookUp(nameIndex).name() : readString(in);
        return new HeaderField(name, readString(in));
    }

    private String readString(ByteBuf in) throws HpackException {
        if (!in.isReadable()) {
            throw new HpackException("a string is missing");
        }
        int first = in.readUnsignedByte();
        int length = readInteger(in, first, 7);
        if (length > in.readableBytes()) {
            throw new HpackException("a string of " + length + " octets is cut short");
        }
        if (length > maxListOctets) {
            throw new HpackException("a string of more than " + maxListOctets + " octets", true);
        }
        if ((first & HUFFMAN) != 0) {
            return Huffman.decode(in, length);
        }
        return in.readCharSequence(length, StandardCharsets.ISO_8859_1).toString();
    }

    /**
     * Reads an integer (section 5.1). Integers above 28 bits are rejected, because no table or
     * string is that large.
     */
    private static int readInteger(ByteBuf in, int first, int prefixBits) throws HpackException {
        int prefixMask = (1 << prefixBits) - 1;
        int value = first & prefixMask;
        if (value < prefixMask) {
            return value;
        }
        for (int shift = 0; shift <= 21; shift += 7) {
            if (!in.isReadable()) {
                throw new HpackException("an integer is cut short");
            }
            int octet = in.readUnsignedByte();
            value += (octet & 0x7F) << shift;
            if ((octet & 0x80) == 0) {
                return value;
            }
        }
        throw new HpackException("an integer of more than 28 bits");
    }
}
