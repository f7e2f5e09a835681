package sorrelhoist.core.record;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A growing piece of memory that values are written to; whole numbers take as many bytes as they
 * need.
 */
final class Bytes {
    private static final int FIRST = 256;
    private static final int SEVEN = 0x7F;
    private byte[] data = new byte[FIRST];
    private int size;

    int size() {
        return size;
    }

    byte[] array() {
        return data;
    }

    byte[] copy() {
        return Arrays.copyOf(data, size);
    }

    /** Drops everything after a mark taken with {@link #size()}. */
    void cut(int mark) {
        size = mark;
    }

    private void room(int more) {
        if (size + more > data.length) {
            data = Arrays.copyOf(data, Math.max(2 * data.length, size + more));
        }
    }

    Bytes one(int value) {
        room(1);
        data[size++] = (byte) value;
        return this;
    }

    /** A number that is never below 0, seven bits a byte, the lowest first. */
    Bytes count(long value) {
        room(10);
        long left = value;
        while ((left & ~SEVEN) != 0) {
            data[size++] = (byte) (left & SEVEN | SEVEN + 1);
            left >>>= 7;
        }
        data[size++] = (byte) left;
        return this;
    }

    /** A number of either sign; small ones are short. */
    Bytes number(long value) {
        return count(value << 1 ^ value >> 63);
    }

    Bytes eight(long value) {
        room(8);
        for (int shift = 56; shift >= 0; shift -= 8) {
            data[size++] = (byte) (value >>> shift);
        }
        return this;
    }

    Bytes four(int value) {
        return one(value >>> 24).one(value >>> 16).one(value >>> 8).one(value);
    }

    Bytes text(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        count(bytes.length);
        room(bytes.length);
        System.arraycopy(bytes, 0, data, size, bytes.length);
        size += bytes.length;
        return this;
    }

    Bytes raw(byte[] bytes, int length) {
        room(length);
        System.arraycopy(bytes, 0, data, size, length);
        size += length;
        return this;
    }

    /** Begins something whose length goes before it. {@return a mark for {@link #close}} */
    int open() {
        one(0);
        return size;
    }

    /**
     * Ends it. Most lengths take the one byte that was left free; for longer ones what follows
     * moves up.
     */
    void close(int mark) {
        int length = size - mark;
        if (length <= SEVEN) {
            data[mark - 1] = (byte) length;
            return;
        }
        byte[] body = Arrays.copyOfRange(data, mark, size);
        size = mark - 1;
        count(length).raw(body, length);
    }
}
