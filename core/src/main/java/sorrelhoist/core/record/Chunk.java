package sorrelhoist.core.record;

import java.util.List;

/**
 * A decoded chunk of a segment file.
 *
 * @param firstNumber number of the chunk's first entry
 * @param header header of the recording that the chunk belongs to
 * @param entries the chunk's entries in order, without the header
 */
record Chunk(long firstNumber, RecordEntry.Header header, List<RecordEntry> entries) {}
