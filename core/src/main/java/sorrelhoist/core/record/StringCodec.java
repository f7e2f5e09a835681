package sorrelhoist.core.record;

/** Writes and reads the texts of a record; the chunk codec shares those that recur. */
interface StringCodec {
    /** Writes a text, which may be null. */
    void write(BinaryWriter out, String text);

    /** {@return the next text, which may be null} */
    String read(BinaryReader in) throws CorruptRecordException;
}
