package sorrelhoist.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.request.FaultSchedule.Fault;

/** The model of a faulty network as a whole: it sees what is planted, and nothing else. */
class FaultyNetworkTest {
    private static final int PLANTED_SEEDS = 50;

    /** The least of them in which a state has to be released at all: a decode was not served. */
    private static final int PLANTED_SEEN = 15;

    @Test
    void noStateIsLateWhereTheNetworkHasNoFaults() {
        assertEquals(List.of(), FaultyPlays.play(Set.of(), FaultyPlays.SEEDS).broken());
    }

    @Test
    void releasesThatLetGoOfNothingAreSeen() {
        Set<Fault> planted = EnumSet.of(Fault.RELEASES_DO_NOTHING);
        int seen = FaultyPlays.play(planted, PLANTED_SEEDS).broken().size();
        assertTrue(seen >= PLANTED_SEEN, "seen in " + seen + " of " + PLANTED_SEEDS + " seeds");
    }
}
