package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingActions.Probe;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.ProbeAnswered;
import sorrelhoist.routing.RoutingEvents.ServerLoad;
import sorrelhoist.routing.RoutingSettings.LoadReportMode;

class LoadProberTest {
    private static PolicyParts parts(LoadReportMode mode) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.loadReportMode = mode;
        settings.probes = true;
        return new PolicyParts(settings.build(), Fixtures.fleet());
    }

    @Test
    void probesTheEndpointWithTheOldestProbeOnceTheBudgetPermitsIt() {
        PolicyParts parts = parts(LoadReportMode.IN_PROBES);
        LoadProber prober = new LoadProber(parts.context, parts.endpoints);
        prober.probeIfDue();
        assertEquals(List.of(), parts.actions(Probe.class));
        for (int i = 0; i < 25; i++) {
            prober.recordArrival();
        }
        prober.probeIfDue();
        prober.probeIfDue();
        assertEquals(List.of(new Probe("r1")), parts.actions(Probe.class));
        ServerLoad report = new ServerLoad(0.7, Double.NaN, Double.NaN, Double.NaN);
        prober.recordAnswer(new ProbeAnswered("r1", Outcome.DONE, 5, report));
        prober.recordAnswer(new ProbeAnswered("r1", Outcome.DONE, 5, ServerLoad.NONE));
        prober.recordAnswer(new ProbeAnswered("never-listed", Outcome.DONE, 5, report));
        assertEquals(0.7, parts.endpoint("r1").memoryShare);
    }

    @Test
    void doesNotProbeWhereReportsComeOtherwise() {
        PolicyParts parts = parts(LoadReportMode.IN_OUTCOMES);
        LoadProber prober = new LoadProber(parts.context, parts.endpoints);
        for (int i = 0; i < 25; i++) {
            prober.recordArrival();
        }
        prober.probeIfDue();
        assertEquals(List.of(), parts.actions(Probe.class));
    }
}
