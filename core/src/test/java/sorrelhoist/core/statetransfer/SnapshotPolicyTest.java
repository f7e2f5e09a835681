package sorrelhoist.core.statetransfer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static sorrelhoist.core.statetransfer.SnapshotFixtures.SECOND;
import static sorrelhoist.core.statetransfer.SnapshotFixtures.knowledge;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.statetransfer.SnapshotPolicy.RestoredSnapshot;
import sorrelhoist.core.statetransfer.SnapshotPolicy.SnapshotKind;

/** When snapshots are due, and which are restored. */
class SnapshotPolicyTest {
    @Test
    void theNewestSnapshotIsRestoredFirstAndOldOrUnreadableOnesAreNot() {
        byte[] payload = KnowledgeCodec.encode(knowledge(1), 1000);
        List<RestoredSnapshot> restorable =
                SnapshotPolicy.selectRestorable(
                        2000 * SECOND,
                        List.of(
                                new SnapshotLog.Frame(100 * SECOND, payload),
                                new SnapshotLog.Frame(1000 * SECOND, payload),
                                new SnapshotLog.Frame(1990 * SECOND, payload),
                                new SnapshotLog.Frame(5000 * SECOND, payload),
                                new SnapshotLog.Frame(1500 * SECOND, new byte[] {1, 2})));
        assertEquals(
                List.of(0L, 10 * SECOND, 1000 * SECOND),
                restorable.stream().map(RestoredSnapshot::ageMicros).toList());
    }

    @Test
    void incrementalAndFullSnapshotsAreDueInTheirIntervals() {
        SnapshotPolicy policy = new SnapshotPolicy(0);
        assertEquals(SnapshotKind.NONE, policy.kindDue(4 * SECOND));
        assertEquals(SnapshotKind.INCREMENTAL, policy.kindDue(5 * SECOND));
        policy.snapshotWritten(5 * SECOND, SnapshotKind.INCREMENTAL, 1000);
        assertEquals(10 * SECOND, policy.nextDueAt());
        policy.snapshotWritten(10 * SECOND, SnapshotKind.INCREMENTAL, 5 << 20);
        assertEquals(SnapshotKind.FULL, policy.kindDue(11 * SECOND));
        policy.snapshotWritten(11 * SECOND, SnapshotKind.FULL, 1 << 20);
        assertEquals(SnapshotKind.NONE, policy.kindDue(12 * SECOND));
        assertEquals(SnapshotKind.FULL, policy.kindDue(71 * SECOND));
    }
}
