package sorrelhoist.protocol.protobuf;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Writes one message of the protobuf wire format. Default values (0, false, empty) are omitted as
 * in proto3, unless a method states otherwise.
 */
public final class ProtoWriter {
    private static final int INITIAL_CAPACITY = 64;
    private static final int MAX_VARINT_BYTES = 10;
    private static final int WIRE_TYPE_BITS = 3;
    private static final int VARINT = 0;
    private static final int FIXED64 = 1;
    private static final int BYTES = 2;
    private byte[] data = new byte[INITIAL_CAPACITY];
    private int size;

    /** Creates a writer for an empty message. */
    public ProtoWriter() {}

    /** Writes a field of type int32, int64, uint32, uint64 or enum. */
    public ProtoWriter writeVarint(int field, long value) {
        if (value != 0) {
            writeTag(field, VARINT);
            writeRawVarint(value);
        }
        return this;
    }

    /** Writes a varint field even if it is 0, as needed for oneof members. */
    public ProtoWriter writeVarintAlways(int field, long value) {
        writeTag(field, VARINT);
        writeRawVarint(value);
        return this;
    }

    /** Writes a field of type sint32 or sint64. */
    public ProtoWriter writeZigZag(int field, long value) {
        return writeVarint(field, value << 1 ^ value >> 63);
    }

    /** Writes a field of type bool. */
    public ProtoWriter writeBool(int field, boolean value) {
        return writeVarint(field, value ? 1 : 0);
    }

    /** Writes a field of type double. */
    public ProtoWriter writeDouble(int field, double value) {
        long bits = Double.doubleToRawLongBits(value);
        if (bits != 0) {
            writeTag(field, FIXED64);
            ensureCapacity(Long.BYTES);
            for (int i = 0; i < Long.BYTES; i++) {
                data[size++] = (byte) (bits >>> Byte.SIZE * i);
            }
        }
        return this;
    }

    /** Writes a field of type string; null is treated as empty. */
    public ProtoWriter writeString(int field, String value) {
        return value == null || value.isEmpty()
                ? this
                : writeBytesAlways(field, value.getBytes(StandardCharsets.UTF_8));
    }

    /** Writes a field of type bytes. */
    public ProtoWriter writeBytes(int field, byte[] value) {
        return value.length == 0 ? this : writeBytesAlways(field, value);
    }

    /**
     * Writes a field of type bytes or string, or an encoded message, even if it is empty, as needed
     * for repeated fields and oneof members.
     */
    public ProtoWriter writeBytesAlways(int field, byte[] value) {
        writeTag(field, BYTES);
        writeRawVarint(value.length);
        ensureCapacity(value.length);
        System.arraycopy(value, 0, data, size, value.length);
        size += value.length;
        return this;
    }

    /** Writes a nested message, even if it is empty. */
    public ProtoWriter writeMessage(int field, ProtoWriter value) {
        writeTag(field, BYTES);
        writeRawVarint(value.size);
        ensureCapacity(value.size);
        System.arraycopy(value.data, 0, data, size, value.size);
        size += value.size;
        return this;
    }

    /** Writes a value of a packed field: a varint without a tag. */
    public ProtoWriter writePackedVarint(long value) {
        writeRawVarint(value);
        return this;
    }

    /** {@return a copy of the bytes written so far} */
    public byte[] toByteArray() {
        return Arrays.copyOf(data, size);
    }

    private void writeTag(int field, int wireType) {
        writeRawVarint((long) field << WIRE_TYPE_BITS | wireType);
    }

    private void writeRawVarint(long value) {
        ensureCapacity(MAX_VARINT_BYTES);
        long remaining = value;
        while ((remaining & ~0x7FL) != 0) {
            data[size++] = (byte) (remaining | 0x80);
            remaining >>>= 7;
        }
        data[size++] = (byte) remaining;
    }

    private void ensureCapacity(int bytes) {
        if (data.length - size < bytes) {
            data = Arrays.copyOf(data, Math.max(2 * data.length, size + bytes));
        }
    }
}
