package sorrelhoist.core.record;

import java.util.List;

/**
 * A decoded chunk.
 *
 * @param firstNumber number of its first entry
 * @param header of the recording that it belongs to
 * @param entries in their order, without the header
 */
record Chunk(long firstNumber, RecordEntry.Header header, List<RecordEntry> entries) {}
