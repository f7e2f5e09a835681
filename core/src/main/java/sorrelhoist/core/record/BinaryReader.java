package sorrelhoist.core.record;

import java.nio.charset.StandardCharsets;

/**
 * Reads values that {@link BinaryWriter} wrote. It never reads beyond its bounds, and it accepts a
 * length only if at least that many bytes remain, so damaged data cannot cause a large allocation.
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
            throw new CorruptRecordException("data ends in the middle of a value");
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
        throw new CorruptRecordException("varint is longer than 10 bytes");
    }

    /**
     * Reads the number of items that follow.
     *
     * @param minItemBytes minimum encoded size of one item, in bytes
     */
    int readLength(int minItemBytes) throws CorruptRecordException {
        long length = readVarint();
        if (length < 0 || length * minItemBytes > remaining() || length > remaining()) {
            throw new CorruptRecordException(
                    "length " + length + " does not fit the " + remaining() + " remaining bytes");
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

    /** Reads a length-prefixed block. {@return a reader of that block only} */
    BinaryReader readBlock() throws CorruptRecordException {
        return slice(readLength(1));
    }

    /**
     * Skips bytes. {@return a reader of the skipped bytes}
     *
     * @param length number of bytes; the caller ensures that at least that many remain
     */
    BinaryReader slice(int length) {
        BinaryReader slice = new BinaryReader(data, position, position + length);
        position += length;
        return slice;
    }
}
