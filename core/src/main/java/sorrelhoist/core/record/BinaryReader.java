package sorrelhoist.core.record;

import java.nio.charset.StandardCharsets;

/**
 * Reads what {@link BinaryWriter} wrote. It never reads beyond its bounds, and a length is accepted
 * only where that many bytes are left, so that damaged bytes cannot cause a large allocation.
 */
final class BinaryReader {
    private static final int VARINT_PAYLOAD_BITS = 7;
    private static final int VARINT_PAYLOAD_MASK = 0x7F;
    private static final int MAX_VARINT_SHIFT = 63;

    private final byte[] data;
    private final int end;
    private int position;

    BinaryReader(byte[] data, int from, int to) {
        this.data = data;
        this.position = from;
        this.end = to;
    }

    int position() {
        return position;
    }

    int remaining() {
        return end - position;
    }

    int readByte() throws CorruptRecordException {
        if (position >= end) {
            throw new CorruptRecordException("cut short");
        }
        return data[position++] & 0xFF;
    }

    long readVarint() throws CorruptRecordException {
        long value = 0;
        for (int shift = 0; shift <= MAX_VARINT_SHIFT; shift += VARINT_PAYLOAD_BITS) {
            int next = readByte();
            value |= (long) (next & VARINT_PAYLOAD_MASK) << shift;
            if (next <= VARINT_PAYLOAD_MASK) {
                return value;
            }
        }
        throw new CorruptRecordException("a number that does not end");
    }

    /**
     * Reads how many items follow.
     *
     * @param minItemBytes bytes that each of them takes at least
     */
    int readLength(int minItemBytes) throws CorruptRecordException {
        long length = readVarint();
        if (length < 0 || length * minItemBytes > remaining() || length > remaining()) {
            throw new CorruptRecordException(
                    "a length of " + length + " where " + remaining() + " bytes are left");
        }
        return (int) length;
    }

    long readSignedVarint() throws CorruptRecordException {
        long raw = readVarint();
        return raw >>> 1 ^ -(raw & 1);
    }

    int readInt() throws CorruptRecordException {
        int value = 0;
        for (int i = 0; i < Integer.BYTES; i++) {
            value = value << Byte.SIZE | readByte();
        }
        return value;
    }

    long readLong() throws CorruptRecordException {
        long value = 0;
        for (int i = 0; i < Long.BYTES; i++) {
            value = value << Byte.SIZE | readByte();
        }
        return value;
    }

    String readString() throws CorruptRecordException {
        int length = readLength(1);
        String text = new String(data, position, length, StandardCharsets.UTF_8);
        position += length;
        return text;
    }

    /** Reads a block that is preceded by its length. {@return a reader of that block alone} */
    BinaryReader readBlock() throws CorruptRecordException {
        return slice(readLength(1));
    }

    /** {@return a reader of the next bytes, which are passed over here} */
    BinaryReader slice(int length) {
        BinaryReader slice = new BinaryReader(data, position, position + length);
        position += length;
        return slice;
    }
}
