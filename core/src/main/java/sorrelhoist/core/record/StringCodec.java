package sorrelhoist.core.record;

/**
 * Writes and reads the texts of a record. {@link StringTable}, the implementation for chunks,
 * writes recurring texts as references.
 */
interface StringCodec {
    /** Writes a text, which may be null. */
    void write(BinaryWriter out, String text);

    /** {@return the next text, which may be null} */
    String read(BinaryReader in) throws CorruptRecordException;
}
