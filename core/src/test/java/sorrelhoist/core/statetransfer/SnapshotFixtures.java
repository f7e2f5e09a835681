package sorrelhoist.core.statetransfer;

import java.util.ArrayList;
import java.util.List;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.Knowledge.PrefixEntry;
import sorrelhoist.routing.Knowledge.PrefixHolder;
import sorrelhoist.routing.Knowledge.RegressionSums;
import sorrelhoist.routing.Knowledge.ServerHealth;

/** Knowledge as test data for this package. */
final class SnapshotFixtures {
    static final long SECOND = 1_000_000;

    private SnapshotFixtures() {}

    /** {@return knowledge with this number of keys, the most recently used last} */
    static Knowledge knowledge(int keys) {
        List<PrefixEntry> entries = new ArrayList<>();
        for (int i = 0; i < keys; i++) {
            entries.add(
                    new PrefixEntry(
                            "key-" + i,
                            (keys - i) * 1000L,
                            i % 7,
                            List.of(new PrefixHolder("r" + i % 3, 5, 100 + i))));
        }
        RegressionSums sums = new RegressionSums(10, 1000, 50_000, 200_000, 9_000_000);
        List<ServerHealth> health = List.of(new ServerHealth("r1", 5, 0.25, 1.5, 9));
        return new Knowledge(entries, health, List.of(sums, sums), sums);
    }
}
