package sorrelhoist.core.statetransfer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static sorrelhoist.core.statetransfer.SnapshotFixtures.SECOND;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.core.members.EngineTable;
import sorrelhoist.core.members.EngineTable.ListedEngine;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.Knowledge.PrefixEntry;
import sorrelhoist.routing.Knowledge.PrefixHolder;
import sorrelhoist.routing.Knowledge.RegressionSums;
import sorrelhoist.routing.RoutingEvents.ServerState;

/** Identities of engine processes between routers whose clocks differ. */
class ProcessIdentityTranslatorTest {
    private static ListedEngine engine(String id, long incarnation, long uptimeMicros) {
        return new ListedEngine(
                id, "a", "x", "k", ServerState.SERVING, 1, incarnation, uptimeMicros, "");
    }

    @Test
    void processesAreKnownByTheirIncarnationsAcrossClocks() {
        EngineTable donor = new EngineTable(List.of("a"), List.of("k"));
        EngineTable receiver = new EngineTable(List.of("a"), List.of("k"));
        for (int i = 0; i < 3; i++) {
            donor.update(100 * SECOND, List.of(engine("r" + i, 70 + i, 9 * SECOND)));
            long incarnation = i == 2 ? 99 : 70 + i;
            receiver.update(111 * SECOND + 17, List.of(engine("r" + i, incarnation, 20 * SECOND)));
        }
        PrefixEntry key =
                new PrefixEntry(
                        "s",
                        0,
                        1,
                        List.of(
                                new PrefixHolder("r0", donor.startedAt("r0"), 5),
                                new PrefixHolder("r1", 1, 5),
                                new PrefixHolder("r2", donor.startedAt("r2"), 5)));
        Knowledge known =
                new Knowledge(
                        List.of(key), List.of(), List.of(), new RegressionSums(0, 0, 0, 0, 0));
        Knowledge received =
                ProcessIdentityTranslator.toLocalStartTimes(
                        ProcessIdentityTranslator.toIncarnations(known, donor), receiver);
        assertEquals(
                List.of(new PrefixHolder("r0", receiver.startedAt("r0"), 5)),
                received.keys().get(0).holders());
    }
}
