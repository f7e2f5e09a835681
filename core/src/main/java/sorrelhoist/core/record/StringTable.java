package sorrelhoist.core.record;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Stores the texts of one chunk: the first occurrence of a text is written in full, later ones as
 * references. Once the table is full, texts that it lacks are always written in full. A table is
 * used either for writing or for reading.
 */
final class StringTable implements StringCodec {
    private static final int MAX_ENTRIES = 4096;
    private static final int NULL = 0;
    private static final int NEW = 1;
    private static final int FIRST_REFERENCE = 2;

    private final Map<String, Integer> indexes = new HashMap<>();
    private final List<String> texts = new ArrayList<>();

    /** Removes all texts from a table for writing, before a new chunk begins. */
    void clear() {
        indexes.clear();
    }

    @Override
    public void write(BinaryWriter out, String text) {
        if (text == null) {
            out.writeVarint(NULL);
            return;
        }
        Integer index = indexes.get(text);
        if (index != null) {
            out.writeVarint(FIRST_REFERENCE + index);
            return;
        }
        out.writeVarint(NEW).writeString(text);
        if (indexes.size() < MAX_ENTRIES) {
            indexes.put(text, indexes.size());
        }
    }

    @Override
    public String read(BinaryReader in) throws CorruptRecordException {
        long code = in.readVarint();
        if (code == NULL) {
            return null;
        }
        if (code == NEW) {
            String text = in.readString();
            if (texts.size() < MAX_ENTRIES) {
                texts.add(text);
            }
            return text;
        }
        if (code < 0 || code - FIRST_REFERENCE >= texts.size()) {
            throw new CorruptRecordException("reference to a text that was not written before");
        }
        return texts.get((int) (code - FIRST_REFERENCE));
    }
}
