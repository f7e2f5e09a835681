package sorrelhoist.protocol.protobuf;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Writes one message of the protobuf wire format. Default values (0, false, empty) are left out, as
 * proto3 has it.
 */
public final class ProtoWriter {
    private byte[] data;
    private int size;

    /** Makes an empty message. */
    public ProtoWriter() {
        this(64);
    }

    /** Makes an empty message with room for so many bytes. */
    public ProtoWriter(int room) {
        data = new byte[room];
    }

    /** Writes a field of type int32, int64, uint32, uint64 or enum. */
    public ProtoWriter writeVarint(int field, long value) {
        if (value != 0) {
            tag(field, 0);
            varint(value);
        }
        return this;
    }

    /** Writes a varint field also where it is 0: for members of a oneof. */
    public ProtoWriter writeVarintAlways(int field, long value) {
        tag(field, 0);
        varint(value);
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
        if (Double.doubleToRawLongBits(value) != 0) {
            tag(field, 1);
            long bits = Double.doubleToRawLongBits(value);
            room(8);
            for (int i = 0; i < 8; i++) {
                data[size++] = (byte) (bits >>> 8 * i);
            }
        }
        return this;
    }

    /** Writes a field of type string. */
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
     * Writes a field of type bytes or string, or a nested message, also where it is empty: in lists
     * and oneofs.
     */
    public ProtoWriter writeBytesAlways(int field, byte[] value) {
        tag(field, 2);
        varint(value.length);
        room(value.length);
        System.arraycopy(value, 0, data, size, value.length);
        size += value.length;
        return this;
    }

    /** Writes a nested message. */
    public ProtoWriter writeMessage(int field, ProtoWriter value) {
        tag(field, 2);
        varint(value.size);
        room(value.size);
        System.arraycopy(value.data, 0, data, size, value.size);
        size += value.size;
        return this;
    }

    /** Writes a bare varint, as packed fields hold them. */
    public ProtoWriter writePackedVarint(long value) {
        varint(value);
        return this;
    }

    /** {@return the bytes so far} */
    public byte[] toByteArray() {
        return Arrays.copyOf(data, size);
    }

    private void tag(int field, int type) {
        varint((long) field << 3 | type);
    }

    private void varint(long value) {
        room(10);
        long rest = value;
        while ((rest & ~0x7FL) != 0) {
            data[size++] = (byte) (rest | 0x80);
            rest >>>= 7;
        }
        data[size++] = (byte) rest;
    }

    private void room(int bytes) {
        if (data.length - size < bytes) {
            data = Arrays.copyOf(data, Math.max(2 * data.length, size + bytes));
        }
    }
}
