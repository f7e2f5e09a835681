package sorrelhoist.lab.soak;

import java.util.List;

/**
 * Judges what clients and workers saw. It knows nothing of what routers say of themselves. Each
 * check covers one or a few invariants.
 */
final class SoakOracle {
    private final TrafficLog log;
    private final FleetTimeline timeline;
    private final ViolationCollector violations;
    private final ResponseCheck responses;
    private final AttemptCheck attempts;
    private final StateReleaseCheck stateReleases;
    private final StreamCheck streams;
    private final ProcessCheck processes;
    private final SlowStartCheck slowStarts;
    private final UnservableClientCheck unservableClients;

    SoakOracle(FleetRules rules, TrafficLog log, FleetTimeline timeline) {
        this.log = log;
        this.timeline = timeline;
        violations = new ViolationCollector(timeline);
        responses = new ResponseCheck(timeline, violations);
        attempts = new AttemptCheck(rules, timeline, violations);
        stateReleases = new StateReleaseCheck(rules, timeline, violations);
        streams = new StreamCheck(timeline, violations);
        processes = new ProcessCheck(timeline, violations);
        slowStarts = new SlowStartCheck(rules, log, violations);
        unservableClients = new UnservableClientCheck(timeline, violations);
    }

    /**
     * Checks all that was seen.
     *
     * @param clients clients that sent nothing, or nothing that can be served
     * @param requestsPerSecondAndWorker what a warm worker can serve
     * @return all violations, in order of time
     */
    List<Violation> judge(List<UnservableClient> clients, double requestsPerSecondAndWorker) {
        for (RequestTrace request : log.requests()) {
            responses.check(request);
            attempts.check(request);
            stateReleases.check(request);
            streams.check(request);
        }
        timeline.incarnations.forEach(processes::check);
        timeline.workerStarts.forEach(start -> slowStarts.check(start, requestsPerSecondAndWorker));
        clients.forEach(unservableClients::check);
        if (log.unknownIds() > 0) {
            violations.addTimeless(Invariant.KNOWN_IDS, "fleet", log.unknownIds() + " unknown ids");
        }
        return violations.sorted();
    }

    /** {@return violations that are not counted because the harness itself was lagging} */
    int excused() {
        return violations.excused();
    }
}
