package sorrelhoist.core.record;

import java.util.List;

/**
 * What a segment file holds.
 *
 * @param chunks the sound ones, in their order
 * @param faults what is wrong with the others, in plain words; a cut tail is no fault
 * @param foreign whether it is no record of this program at all
 */
record DecodedSegment(List<Chunk> chunks, List<String> faults, boolean foreign) {
    static DecodedSegment rejected(String fault, boolean foreign) {
        return new DecodedSegment(List.of(), List.of(fault), foreign);
    }
}
