package sorrelhoist.protocol.protobuf;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Reads one message of the protobuf wire format, field by field: call {@link #nextField}, then the
 * reading method of the field's type, or {@link #skipField}. Nested messages are read by a reader
 * of their own over the same bytes.
 */
public final class ProtoReader {
    /** Messages within messages, at most. */
    private static final int MAX_DEPTH = 32;

    private static final int VARINT = 0;
    private static final int FIXED64 = 1;
    private static final int BYTES = 2;
    private static final int FIXED32 = 5;
    private final byte[] data;
    private final int depth;
    private int at;
    private final int end;
    private int field;
    private int type;

    /** Reads a whole array. */
    public ProtoReader(byte[] data) {
        this(data, 0, data.length, 0);
    }

    private ProtoReader(byte[] data, int from, int end, int depth) {
        this.data = data;
        this.at = from;
        this.end = end;
        this.depth = depth;
    }

    /** {@return the next field's number, or 0 at the end} */
    public int nextField() throws ProtoException {
        if (at == end) {
            return field = 0;
        }
        long tag = varint();
        field = (int) (tag >>> 3);
        type = (int) (tag & 7);
        if (tag > 0xFFFFFFFFL || field == 0) {
            throw new ProtoException("field number 0 or above 2^29 - 1");
        }
        return field;
    }

    /** {@return a field of type int32, int64, uint32, uint64 or enum} */
    public long readVarint() throws ProtoException {
        need(VARINT);
        return varint();
    }

    /** {@return a field of type sint32 or sint64} */
    public long readZigZag() throws ProtoException {
        long raw = readVarint();
        return raw >>> 1 ^ -(raw & 1);
    }

    /** {@return a field that must lie from 0 to 2^31 - 1} */
    public int readNonNegativeInt() throws ProtoException {
        long value = readVarint();
        if (value < 0 || value > Integer.MAX_VALUE) {
            throw new ProtoException("field " + field + " is out of range: " + value);
        }
        return (int) value;
    }

    /** {@return a field of type bool} */
    public boolean readBool() throws ProtoException {
        return readVarint() != 0;
    }

    /** {@return a field of type double} */
    public double readDouble() throws ProtoException {
        need(FIXED64);
        return Double.longBitsToDouble(fixed(8));
    }

    /** {@return a field of type string; it has to be UTF-8} */
    public String readString() throws ProtoException {
        need(BYTES);
        int size = size();
        int from = at;
        at += size;
        boolean ascii = true;
        for (int i = from; i < at && ascii; i++) {
            ascii = data[i] >= 0;
        }
        if (ascii) {
            return new String(data, from, size, StandardCharsets.ISO_8859_1);
        }
        try {
            CharBuffer text =
                    StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(data, from, size));
            return text.toString();
        } catch (CharacterCodingException e) {
            throw new ProtoException("field " + field + " is not UTF-8");
        }
    }

    /** {@return a field of type bytes, copied} */
    public byte[] readBytes() throws ProtoException {
        need(BYTES);
        int size = size();
        at += size;
        return java.util.Arrays.copyOfRange(data, at - size, at);
    }

    /** {@return a reader of a nested message, or of a packed field} */
    public ProtoReader readMessage() throws ProtoException {
        need(BYTES);
        if (depth >= MAX_DEPTH) {
            throw new ProtoException("messages nested more than " + MAX_DEPTH + " deep");
        }
        int size = size();
        at += size;
        return new ProtoReader(data, at - size, at, depth + 1);
    }

    /** {@return whether the field holds several values in one, as repeated numbers may come} */
    public boolean isPacked() {
        return type == BYTES;
    }

    /** {@return whether nothing is left; for packed fields} */
    public boolean atEnd() {
        return at == end;
    }

    /** {@return the next value of a packed field of varints} */
    public long readPackedVarint() throws ProtoException {
        return varint();
    }

    /** Passes over the field, whatever it is. */
    public void skipField() throws ProtoException {
        switch (type) {
            case VARINT -> varint();
            case FIXED64 -> fixed(8);
            case FIXED32 -> fixed(4);
            case BYTES -> at += size();
            default ->
                    throw new ProtoException(
                            "wire type " + type + " of field " + field + " is not taken");
        }
    }

    private void need(int wanted) throws ProtoException {
        if (type != wanted) {
            throw new ProtoException(
                    "field " + field + " has wire type " + type + ", expected " + wanted);
        }
    }

    private int size() throws ProtoException {
        long size = varint();
        if (size < 0 || size > end - at) {
            throw new ProtoException("field " + field + " is longer than its message");
        }
        return (int) size;
    }

    private long varint() throws ProtoException {
        long value = 0;
        for (int shift = 0; shift < 64; shift += 7) {
            if (at == end) {
                throw new ProtoException("the message is cut short");
            }
            byte b = data[at++];
            value |= (b & 0x7FL) << shift;
            if (b >= 0) {
                return value;
            }
        }
        throw new ProtoException("a varint of more than ten bytes");
    }

    private long fixed(int bytes) throws ProtoException {
        if (end - at < bytes) {
            throw new ProtoException("the message is cut short");
        }
        long value = 0;
        for (int i = 0; i < bytes; i++) {
            value |= (data[at++] & 0xFFL) << 8 * i;
        }
        return value;
    }
}
