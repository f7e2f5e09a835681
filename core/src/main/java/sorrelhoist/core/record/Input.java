package sorrelhoist.core.record;

import java.nio.charset.StandardCharsets;

/**
 * Reads what {@link Bytes} wrote. Whatever the bytes are, it reads nothing beyond them and makes no
 * large promises.
 */
final class Input {
    private static final int SEVEN = 0x7F;
    private static final int MOST_BITS = 63;
    private final byte[] data;
    private int at;
    private final int end;

    Input(byte[] data, int from, int to) {
        this.data = data;
        this.at = from;
        this.end = to;
    }

    int left() {
        return end - at;
    }

    int one() throws CorruptRecordException {
        if (at >= end) {
            throw new CorruptRecordException("cut short");
        }
        return data[at++] & 0xFF;
    }

    long count() throws CorruptRecordException {
        long value = 0;
        for (int shift = 0; shift <= MOST_BITS; shift += 7) {
            int b = one();
            value |= (long) (b & SEVEN) << shift;
            if (b <= SEVEN) {
                return value;
            }
        }
        throw new CorruptRecordException("a number that does not end");
    }

    /** A length of something that follows, each item at least so many bytes long. */
    int length(int itemBytes) throws CorruptRecordException {
        long n = count();
        if (n < 0 || n * itemBytes > left() || n > left()) {
            throw new CorruptRecordException(
                    "a length of " + n + " where " + left() + " bytes are left");
        }
        return (int) n;
    }

    long number() throws CorruptRecordException {
        long raw = count();
        return raw >>> 1 ^ -(raw & 1);
    }

    long eight() throws CorruptRecordException {
        long value = 0;
        for (int i = 0; i < 8; i++) {
            value = value << 8 | one();
        }
        return value;
    }

    String text() throws CorruptRecordException {
        int length = length(1);
        String text = new String(data, at, length, StandardCharsets.UTF_8);
        at += length;
        return text;
    }

    /** A part of the given length, which is passed over here. */
    Input part(int length) {
        Input part = new Input(data, at, at + length);
        at += length;
        return part;
    }
}
