package sorrelhoist.protocol.protobuf;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads one message of the protobuf wire format field by field: call {@link #nextField}, then the
 * read method for the field's type, or {@link #skipField}. Nested messages are read by separate
 * readers on the same array.
 */
public final class ProtoReader {
    /** Maximum nesting depth of messages. */
    private static final int MAX_DEPTH = 32;

    private static final int WIRE_TYPE_BITS = 3;
    private static final int WIRE_TYPE_MASK = 0x7;
    private static final int VARINT = 0;
    private static final int FIXED64 = 1;
    private static final int BYTES = 2;
    private static final int FIXED32 = 5;
    private final byte[] data;
    private final int end;
    private final int depth;
    private int position;
    private int field;
    private int wireType;

    /** Creates a reader for the message in an array, which is not copied. */
    public ProtoReader(byte[] data) {
        this(data, 0, data.length, 0);
    }

    private ProtoReader(byte[] data, int start, int end, int depth) {
        this.data = data;
        this.position = start;
        this.end = end;
        this.depth = depth;
    }

    /** {@return the number of the next field, or 0 at the end of the message} */
    public int nextField() throws ProtoException {
        if (position == end) {
            field = 0;
            return 0;
        }
        long tag = varint();
        field = (int) (tag >>> WIRE_TYPE_BITS);
        wireType = (int) (tag & WIRE_TYPE_MASK);
        if (tag > 0xFFFFFFFFL || field == 0) {
            throw new ProtoException("field number 0 or above 2^29 - 1");
        }
        return field;
    }

    /** {@return the value of a field of type int32, int64, uint32, uint64 or enum} */
    public long readVarint() throws ProtoException {
        requireWireType(VARINT);
        return varint();
    }

    /** {@return the value of a field of type sint32 or sint64} */
    public long readZigZag() throws ProtoException {
        long raw = readVarint();
        return raw >>> 1 ^ -(raw & 1);
    }

    /** {@return the value of a varint field, which must be from 0 to 2^31 - 1} */
    public int readNonNegativeInt() throws ProtoException {
        long value = readVarint();
        if (value < 0 || value > Integer.MAX_VALUE) {
            throw new ProtoException("field " + field + " is out of range: " + value);
        }
        return (int) value;
    }

    /** {@return the value of a field of type bool} */
    public boolean readBool() throws ProtoException {
        return readVarint() != 0;
    }

    /** {@return the value of a field of type double} */
    public double readDouble() throws ProtoException {
        requireWireType(FIXED64);
        return Double.longBitsToDouble(fixed(Long.BYTES));
    }

    /** {@return the value of a field of type string, which must be valid UTF-8} */
    public String readString() throws ProtoException {
        requireWireType(BYTES);
        int length = length();
        int start = position;
        position += length;
        if (isAscii(start, position)) {
            return new String(data, start, length, StandardCharsets.ISO_8859_1);
        }
        try {
            CharBuffer text =
                    StandardCharsets.UTF_8
                            .newDecoder()
                            .decode(ByteBuffer.wrap(data, start, length));
            return text.toString();
        } catch (CharacterCodingException e) {
            throw new ProtoException("field " + field + " is not UTF-8");
        }
    }

    private boolean isAscii(int start, int limit) {
        for (int i = start; i < limit; i++) {
            if (data[i] < 0) {
                return false;
            }
        }
        return true;
    }

    /** {@return a copy of the value of a field of type bytes} */
    public byte[] readBytes() throws ProtoException {
        requireWireType(BYTES);
        int length = length();
        position += length;
        return Arrays.copyOfRange(data, position - length, position);
    }

    /** {@return a reader for a nested message or a packed field} */
    public ProtoReader readMessage() throws ProtoException {
        requireWireType(BYTES);
        if (depth >= MAX_DEPTH) {
            throw new ProtoException("messages nested more than " + MAX_DEPTH + " deep");
        }
        int length = length();
        position += length;
        return new ProtoReader(data, position - length, position, depth + 1);
    }

    /** {@return whether the field is length-delimited, as packed repeated numbers are} */
    public boolean isPacked() {
        return wireType == BYTES;
    }

    /** {@return whether all values of a packed field have been read} */
    public boolean atEnd() {
        return position == end;
    }

    /** {@return the next value of a packed varint field} */
    public long readPackedVarint() throws ProtoException {
        return varint();
    }

    /** Skips a field of any supported wire type. */
    public void skipField() throws ProtoException {
        switch (wireType) {
            case VARINT -> varint();
            case FIXED64 -> fixed(Long.BYTES);
            case FIXED32 -> fixed(Integer.BYTES);
            case BYTES -> position += length();
            default ->
                    throw new ProtoException(
                            "wire type " + wireType + " of field " + field + " is not taken");
        }
    }

    private void requireWireType(int expected) throws ProtoException {
        if (wireType != expected) {
            throw new ProtoException(
                    "field " + field + " has wire type " + wireType + ", expected " + expected);
        }
    }

    private int length() throws ProtoException {
        long length = varint();
        if (length < 0 || length > end - position) {
            throw new ProtoException("field " + field + " is longer than its message");
        }
        return (int) length;
    }

    private long varint() throws ProtoException {
        long value = 0;
        for (int shift = 0; shift < 64; shift += 7) {
            if (position == end) {
                throw new ProtoException("the message is cut short");
            }
            byte b = data[position++];
            value |= (b & 0x7FL) << shift;
            if (b >= 0) {
                return value;
            }
        }
        throw new ProtoException("a varint of more than ten bytes");
    }

    private long fixed(int bytes) throws ProtoException {
        if (end - position < bytes) {
            throw new ProtoException("the message is cut short");
        }
        long value = 0;
        for (int i = 0; i < bytes; i++) {
            value |= (data[position++] & 0xFFL) << 8 * i;
        }
        return value;
    }
}
