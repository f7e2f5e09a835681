package sorrelhoist.core.record;

import net.openhft.hashing.LongHashFunction;

/**
 * The format of a segment file: a file header, followed by chunks. A chunk consists of its length,
 * a checksum, the number of its first entry, the {@link RecordEntry.Header}, and entries; {@link
 * StringTable} replaces recurring texts of a chunk with references. Each chunk is decoded on its
 * own, so a file may be truncated at any byte, a damaged chunk affects no other chunk, and missing
 * entries are detected from gaps in the entry numbers.
 */
public final class ChunkCodec {
    /** Start of every segment file; the last byte is the version of the format. */
    private static final byte[] FILE_HEADER = {'S', 'R', 'L', 'R', 'E', 'C', '0', '1'};

    /** Bytes that precede a chunk's content: its length and its checksum. */
    static final int FRAME_HEADER_BYTES = Integer.BYTES + Long.BYTES;

    /** Maximum size of a chunk's content, in bytes. */
    static final int MAX_CHUNK_BYTES = 64 << 20;

    private static final LongHashFunction XXH3 = LongHashFunction.xx3();

    private ChunkCodec() {}

    /** {@return the bytes at the start of every segment file, as a copy} */
    public static byte[] fileHeader() {
        return FILE_HEADER.clone();
    }

    /** {@return a 64-bit hash (XXH3) that identifies a text that is not stored itself} */
    static long textHash(String text) {
        return XXH3.hashChars(text);
    }

    /** {@return the checksum (XXH3) of a chunk's content} */
    static long checksum(byte[] bytes, int from, int length) {
        return XXH3.hashBytes(bytes, from, length);
    }
}
