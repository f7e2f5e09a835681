package sorrelhoist.core.record;

import net.openhft.hashing.LongHashFunction;

/**
 * The form of a record segment: a file header, then chunks. A chunk is its length, a checksum, the
 * number of its first entry, the {@link RecordEntry.Header} and entries; texts that recur in it are
 * written once. As each chunk stands alone, a file may be cut anywhere, a damaged chunk loses
 * itself alone, and missing entries show by the numbers.
 */
public final class ChunkCodec {
    /** The last byte is the version of the form. */
    private static final byte[] FILE_HEADER = {'S', 'R', 'L', 'R', 'E', 'C', '0', '1'};

    /** Bytes before a chunk's content: its length and its checksum. */
    static final int FRAME_HEADER_BYTES = Integer.BYTES + Long.BYTES;

    /** Bytes that a chunk's content may have. */
    static final int MAX_CHUNK_BYTES = 64 << 20;

    private static final LongHashFunction XXH3 = LongHashFunction.xx3();

    private ChunkCodec() {}

    /** {@return the bytes that a segment file begins with} */
    public static byte[] fileHeader() {
        return FILE_HEADER.clone();
    }

    /**
     * {@return a 64-bit hash (XXH3) by which texts are told apart that are not stored themselves}
     */
    static long textHash(String text) {
        return XXH3.hashChars(text);
    }

    /** {@return the checksum (XXH3) of a chunk's content} */
    static long checksum(byte[] bytes, int from, int length) {
        return XXH3.hashBytes(bytes, from, length);
    }
}
