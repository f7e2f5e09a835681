package sorrelhoist.core.record;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Appends values to a growing byte buffer; integers are stored as varints unless noted otherwise.
 */
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

    /** {@return the backing array, not a copy; only its first {@link #size()} bytes are valid} */
    byte[] array() {
        return data;
    }

    byte[] toByteArray() {
        return Arrays.copyOf(data, size);
    }

    /** Discards everything after a position that {@link #size()} returned earlier. */
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

    /** Writes an unsigned varint: seven bits per byte, the lowest bits first. */
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

    /** Writes a signed number as a zigzag varint, which is short for small magnitudes. */
    BinaryWriter writeSignedVarint(long value) {
        return writeVarint(value << 1 ^ value >> 63);
    }

    /** Writes eight bytes in big-endian order. */
    BinaryWriter writeLong(long value) {
        ensureCapacity(Long.BYTES);
        for (int shift = Long.SIZE - Byte.SIZE; shift >= 0; shift -= Byte.SIZE) {
            data[size++] = (byte) (value >>> shift);
        }
        return this;
    }

    /** Writes four bytes in big-endian order. */
    BinaryWriter writeInt(int value) {
        ensureCapacity(Integer.BYTES);
        for (int shift = Integer.SIZE - Byte.SIZE; shift >= 0; shift -= Byte.SIZE) {
            data[size++] = (byte) (value >>> shift);
        }
        return this;
    }

    /** Writes the length of the UTF-8 encoding in bytes, followed by the encoding. */
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
     * Begins a length-prefixed block.
     *
     * @return the position of the block's content, to be passed to {@link #endBlock}
     */
    int beginBlock() {
        writeByte(0);
        return size;
    }

    /**
     * Ends a block and writes its length. Most lengths fit into the one byte that {@link
     * #beginBlock} reserved; for longer blocks the content is moved to make room.
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
