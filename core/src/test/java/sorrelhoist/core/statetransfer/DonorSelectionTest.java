package sorrelhoist.core.statetransfer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.statetransfer.DonorSelection.Donor;

/** Which routers are asked for a snapshot, in which order, and how often. */
class DonorSelectionTest {
    private static final Donor FAR = new Donor("a", "far", "h:1");
    private static final Donor NEAR = new Donor("c", "near", "h:2");
    private static final Donor NEAR_TOO = new Donor("b", "near", "h:3");
    private static final List<Donor> ALL = List.of(FAR, NEAR, NEAR_TOO);

    @Test
    void theOwnZoneIsAskedFirstAndAFailedDonorAgainAfterTheOthersOfItsZone() {
        DonorSelection selection = new DonorSelection("near");
        assertEquals(NEAR_TOO, selection.nextDonor(ALL));
        assertEquals(NEAR, selection.nextDonor(ALL));
        assertEquals(NEAR_TOO, selection.nextDonor(ALL));
        assertEquals(NEAR, selection.nextDonor(ALL));
        assertNull(selection.nextDonor(ALL), "at most four transfers are made");
    }

    @Test
    void noDonorIsSelectedAfterTwoCompletedTransfers() {
        DonorSelection selection = new DonorSelection("near");
        selection.transferCompleted(selection.nextDonor(ALL));
        assertEquals(NEAR, selection.nextDonor(ALL));
        selection.transferCompleted(NEAR);
        assertNull(selection.nextDonor(ALL));
    }

    @Test
    void noDonorIsSelectedFromAnEmptyList() {
        assertNull(new DonorSelection("near").nextDonor(List.of()));
    }
}
