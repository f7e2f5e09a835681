package sorrelhoist.lab.soak;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import sorrelhoist.lab.soak.FleetTimeline.WorkerStart;
import sorrelhoist.lab.soak.RequestTrace.AttemptTrace;

/**
 * A worker that starts is not overloaded while it warms up: {@link Invariant#SLOW_START}. In any
 * window it is sent at most a multiple of what it can serve just then, and what chance adds.
 */
final class SlowStartCheck {
    /** The share of the requests whose routers knew of the start that makes it their fault. */
    private static final double INFORMED_SHARE = 2.0 / 3;

    /** Below this many allowed requests, chance weighs more. */
    private static final int FEW_REQUESTS = 30;

    private final FleetRules rules;
    private final TrafficLog log;
    private final ViolationCollector violations;
    private final long window;
    private final long warmUp;

    /** An attempt that reached the worker, and whether its router knew that the worker is cold. */
    private record Arrival(long at, boolean informed) {}

    SlowStartCheck(FleetRules rules, TrafficLog log, ViolationCollector violations) {
        this.rules = rules;
        this.log = log;
        this.violations = violations;
        window = TimeUnit.MILLISECONDS.toNanos(rules.overloadMillis());
        warmUp = TimeUnit.MILLISECONDS.toNanos(rules.warmUpMillis());
    }

    void check(WorkerStart start, double requestsPerSecond) {
        List<Arrival> arrivals = arrivals(start);
        for (Arrival first : arrivals) {
            long from = first.at();
            List<Arrival> inWindow =
                    arrivals.stream()
                            .filter(a -> a.at() >= from && a.at() < from + window)
                            .toList();
            double limit = limit(from - start.startedAt, requestsPerSecond);
            long informed = inWindow.stream().filter(Arrival::informed).count();
            if (inWindow.size() > limit && informed > INFORMED_SHARE * inWindow.size()) {
                violations.add(
                        Invariant.SLOW_START,
                        start.worker,
                        from,
                        from + window,
                        inWindow.size()
                                + " requests where "
                                + Math.round(limit)
                                + " are allowed, "
                                + informed
                                + " by routers that had been told");
                return;
            }
        }
    }

    /** {@return the most requests in a window that begins at this age of the worker} */
    private double limit(long ageNanos, double requestsPerSecond) {
        double coldShare = rules.coldCapacityShare();
        double ageInMidWindow = ageNanos + window / 2.0;
        double capacityShare = Math.min(1, coldShare + (1 - coldShare) * ageInMidWindow / warmUp);
        double allowed =
                rules.overloadMultiple() * capacityShare * requestsPerSecond * window / 1e9;
        double deviation = Math.sqrt(allowed);
        return allowed + (allowed < FEW_REQUESTS ? 3 * deviation + 3 : 2 * deviation + 2);
    }

    private List<Arrival> arrivals(WorkerStart start) {
        return log.requests().stream()
                .flatMap(
                        request ->
                                request.attempts.stream()
                                        .filter(attempt -> reachedCold(start, attempt))
                                        .map(attempt -> arrival(start, request, attempt)))
                .sorted(Comparator.comparingLong(Arrival::at))
                .toList();
    }

    private boolean reachedCold(WorkerStart start, AttemptTrace attempt) {
        return attempt.worker.equals(start.worker)
                && attempt.arrivedAt >= start.startedAt
                && attempt.arrivedAt < start.startedAt + warmUp
                && attempt.mayHaveRun();
    }

    private static Arrival arrival(WorkerStart start, RequestTrace request, AttemptTrace attempt) {
        long notifiedAt = start.notifiedAt.getOrDefault(request.router, RequestTrace.NEVER);
        return new Arrival(attempt.arrivedAt, notifiedAt <= attempt.arrivedAt);
    }
}
