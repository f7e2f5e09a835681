package sorrelhoist.protocol.fuzz;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Runs a fixed range of fuzzing seeds, the same in every run. */
class DecoderFuzzTest {
    @Test
    void fixedCorpusIsDecodedOrRejected() {
        long bytes = 0;
        for (long seed = 0; seed < 30_000; seed++) {
            bytes += DecoderFuzz.runInput(seed);
        }
        assertTrue(bytes > 1_000_000);
    }
}
