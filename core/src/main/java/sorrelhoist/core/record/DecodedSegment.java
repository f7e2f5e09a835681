package sorrelhoist.core.record;

import java.util.List;

/**
 * The content of a segment file.
 *
 * @param chunks the valid chunks, in their order
 * @param faults descriptions of what is wrong with the rest; a truncated end is not a fault
 * @param foreign whether the file is not a record of this program
 */
record DecodedSegment(List<Chunk> chunks, List<String> faults, boolean foreign) {
    static DecodedSegment rejected(String fault, boolean foreign) {
        return new DecodedSegment(List.of(), List.of(fault), foreign);
    }
}
