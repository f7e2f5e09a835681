package sorrelhoist.core.record;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A growing byte buffer to which values are appended; integers are stored as varints. */
final class BinaryWriter {
    private static final int INITIAL_CAPACITY = 256;
    private static final int VARINT_PAYLOAD_BITS = 7;
    private static final int VARINT_PAYLOAD_MASK = 0x7F;
    private static final int VARINT_CONTINUATION = 0x80;
    private static final int MAX_VARINT_BYTES = 10;

    private byte[] data = new byte[INITIAL_CAPACITY];
    private int size;

    int size() {
        return size;
    }

    /** {@return the buffer itself, of which the first {@link #size()} bytes are written} */
    byte[] array() {
        return data;
    }

    byte[] toByteArray() {
        return Arrays.copyOf(data, size);
    }

    /** Drops everything after a position that {@link #size()} gave earlier. */
    void truncate(int length) {
        size = length;
    }

    private void ensureCapacity(int additionalBytes) {
        if (size + additionalBytes > data.length) {
            data = Arrays.copyOf(data, Math.max(2 * data.length, size + additionalBytes));
        }
    }

    BinaryWriter writeByte(int value) {
        ensureCapacity(1);
        data[size++] = (byte) value;
        return this;
    }

    /** Writes a number as an unsigned varint: seven bits a byte, the lowest first. */
    BinaryWriter writeVarint(long value) {
        ensureCapacity(MAX_VARINT_BYTES);
        long remaining = value;
        while ((remaining & ~VARINT_PAYLOAD_MASK) != 0) {
            data[size++] = (byte) (remaining & VARINT_PAYLOAD_MASK | VARINT_CONTINUATION);
            remaining >>>= VARINT_PAYLOAD_BITS;
        }
        data[size++] = (byte) remaining;
        return this;
    }

    /** Writes a number of either sign as a zigzag varint, which is short for small magnitudes. */
    BinaryWriter writeSignedVarint(long value) {
        return writeVarint(value << 1 ^ value >> 63);
    }

    /** Writes eight bytes, the highest first. */
    BinaryWriter writeLong(long value) {
        ensureCapacity(Long.BYTES);
        for (int shift = Long.SIZE - Byte.SIZE; shift >= 0; shift -= Byte.SIZE) {
            data[size++] = (byte) (value >>> shift);
        }
        return this;
    }

    /** Writes four bytes, the highest first. */
    BinaryWriter writeInt(int value) {
        ensureCapacity(Integer.BYTES);
        for (int shift = Integer.SIZE - Byte.SIZE; shift >= 0; shift -= Byte.SIZE) {
            data[size++] = (byte) (value >>> shift);
        }
        return this;
    }

    /** Writes a text as its length in bytes and its UTF-8 encoding. */
    BinaryWriter writeString(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return writeVarint(bytes.length).writeBytes(bytes, bytes.length);
    }

    BinaryWriter writeBytes(byte[] bytes, int length) {
        ensureCapacity(length);
        System.arraycopy(bytes, 0, data, size, length);
        size += length;
        return this;
    }

    /**
     * Begins a block that is preceded by its length.
     *
     * @return the block's position, to be given to {@link #endBlock}
     */
    int beginBlock() {
        writeByte(0);
        return size;
    }

    /**
     * Ends a block and writes its length. Most lengths fit the one byte that {@link #beginBlock}
     * left free; for longer ones the block is moved up.
     */
    void endBlock(int start) {
        int length = size - start;
        if (length <= VARINT_PAYLOAD_MASK) {
            data[start - 1] = (byte) length;
            return;
        }
        byte[] block = Arrays.copyOfRange(data, start, size);
        size = start - 1;
        writeVarint(length).writeBytes(block, length);
    }
}
