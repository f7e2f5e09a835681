package sorrelhoist.lab.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import sorrelhoist.lab.soak.FleetRules.RequestClass;
import sorrelhoist.lab.soak.FleetTimeline.RouterLife;
import sorrelhoist.lab.soak.FleetTimeline.WorkerStart;
import sorrelhoist.lab.soak.RequestTrace.AttemptTrace;
import sorrelhoist.lab.soak.RequestTrace.HoldTrace;
import sorrelhoist.lab.soak.WorkerEntry.Role;

/** Judges what clients and workers saw. It knows nothing of what routers say of themselves. */
final class SoakOracle {
    private static final long LATE_ANSWER = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long HOLD_UP = TimeUnit.MILLISECONDS.toNanos(150);
    private static final long SLACK = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long CLIENT_LEFT = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long HELD_SLACK = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long EVENT_LIMIT = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long STREAM_END = TimeUnit.SECONDS.toNanos(1);
    private static final long READY_LIMIT = TimeUnit.SECONDS.toNanos(10);
    private static final long BAD_LIMIT = TimeUnit.SECONDS.toNanos(3);
    private static final double TOLD_SHARE = 2.0 / 3;
    private final FleetRules rules;
    private final TrafficLog log;
    private final FleetTimeline time;
    private final List<Violation> violations = new ArrayList<>();
    private int excused;

    SoakOracle(FleetRules rules, TrafficLog log, FleetTimeline time) {
        this.rules = rules;
        this.log = log;
        this.time = time;
    }

    /** {@return all that was broken, in order of time} */
    List<Violation> judge(
            List<ClientTraffic.BadClient> badClients, double readsPerSecondAndWorker) {
        for (RequestTrace request : log.requests()) {
            answered(request);
            attempts(request);
            released(request);
            stream(request);
        }
        time.lives.forEach(this::process);
        time.starts.forEach(start -> slowStart(start, readsPerSecondAndWorker));
        badClients.forEach(this::badClient);
        if (log.unknownIds() > 0) {
            violations.add(
                    new Violation(
                            Invariant.KNOWN_IDS, "fleet", 0, log.unknownIds() + " unknown ids"));
        }
        violations.sort(Comparator.comparingDouble(Violation::atSeconds));
        return violations;
    }

    /** {@return violations that are not counted because the harness itself was late just then} */
    int excused() {
        return excused;
    }

    private void broken(Invariant invariant, String subject, long from, long at, String detail) {
        if (time.wasHarnessLate(from - HOLD_UP, at + HOLD_UP)) {
            excused++;
        } else {
            violations.add(new Violation(invariant, subject, time.seconds(at), detail));
        }
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    private void answered(RequestTrace r) {
        if (r.sentAt == RequestTrace.NEVER) {
            return;
        }
        RouterLife life = time.life(r.router, r.routerLife);
        long due = r.sentAt + r.budgetNanos + LATE_ANSWER;
        String who =
                r.requestClass + " at n" + r.router + " with " + r.attempts.size() + " attempts";
        if (r.status == 0 && r.leftAt > due && r.brokenAt == RequestTrace.NEVER) {
            if (life.killedAt > due && life.endedAt > r.sentAt) {
                broken(Invariant.ANSWERED, r.id, r.sentAt, due, who + ": nothing came in its time");
            }
        } else if (r.status == 0
                && r.brokenAt != RequestTrace.NEVER
                && life.killedAt > r.brokenAt) {
            boolean crossed = !r.fresh && r.attempts.isEmpty();
            if (!crossed && !time.wasCrowded(r.sentAt, r.brokenAt)) {
                broken(
                        Invariant.ANSWERED,
                        r.id,
                        r.sentAt,
                        r.brokenAt,
                        who
                                + ": its connection"
                                + (r.fresh ? " (a fresh one)" : "")
                                + " was ended with no answer");
            }
        }
        if (r.status != 0
                && r.status != 200
                && r.answeredAt != RequestTrace.NEVER
                && r.answeredAt > due) {
            broken(
                    Invariant.ANSWERED,
                    r.id,
                    r.sentAt,
                    r.answeredAt,
                    who
                            + ": answered "
                            + r.status
                            + " "
                            + millis(r.answeredAt - r.sentAt)
                            + " ms after it was sent");
        }
    }

    private void attempts(RequestTrace r) {
        int ran = 0;
        long outUntil = Long.MIN_VALUE;
        for (AttemptTrace a : r.attempts) {
            String at = a.role + " at " + a.worker + " from n" + r.router;
            if (r.answeredAt != RequestTrace.NEVER && a.firstByteAt > r.answeredAt + SLACK) {
                broken(
                        Invariant.NOTHING_AFTER_ANSWER,
                        r.id,
                        r.answeredAt,
                        a.firstByteAt,
                        at + " " + millis(a.firstByteAt - r.answeredAt) + " ms after the answer");
            }
            if (r.leftAt != RequestTrace.NEVER
                    && a.firstByteAt > r.leftAt + CLIENT_LEFT + HOLD_UP) {
                broken(
                        Invariant.NOTHING_AFTER_CLIENT_LEFT,
                        r.id,
                        r.leftAt,
                        a.firstByteAt,
                        at + " " + millis(a.firstByteAt - r.leftAt) + " ms after its client left");
            }
            if (a.firstByteAt < outUntil) {
                broken(
                        Invariant.ONE_ATTEMPT_AT_A_TIME,
                        r.id,
                        a.firstByteAt,
                        a.firstByteAt,
                        at + " while another was out");
            }
            outUntil =
                    Math.max(
                            outUntil,
                            a.endedAt == RequestTrace.NEVER ? outUntil : a.endedAt - SLACK);
            ran += a.role == Role.WRITE && a.mayHaveRun() ? 1 : 0;
            drain(r, a, at);
            deadline(r, a, at);
        }
        if (r.requestClass == RequestClass.UNSAFE
                && (ran > 1 || ran == 1 && (r.status == 503 || r.status == 429))) {
            broken(
                    Invariant.ONE_EFFECT,
                    r.id,
                    r.sentAt,
                    r.attempts.get(0).arrivedAt,
                    ran + " attempts may have run, answered " + r.status);
        }
        repeatWindow(r);
    }

    private void repeatWindow(RequestTrace r) {
        if (r.requestClass != RequestClass.KEYED) {
            return;
        }
        long first = RequestTrace.NEVER;
        for (AttemptTrace a : r.attempts) {
            if (a.role == Role.WRITE && a.mayHaveRun()) {
                if (first != RequestTrace.NEVER
                        && a.arrivedAt
                                > first
                                        + TimeUnit.MILLISECONDS.toNanos(rules.repeatWindowMillis())
                                        + SLACK / 2) {
                    broken(
                            Invariant.ONE_EFFECT,
                            r.id,
                            first,
                            a.arrivedAt,
                            "repeated at "
                                    + a.worker
                                    + " "
                                    + millis(a.arrivedAt - first)
                                    + " ms after an attempt that may have run");
                }
                first = Math.min(first, a.arrivedAt);
            }
        }
    }

    private void drain(RequestTrace r, AttemptTrace a, String at) {
        long since = time.refusedSince(a.worker, r.router, r.routerLife, a.firstByteAt);
        long grace = TimeUnit.MILLISECONDS.toNanos(rules.drainGraceMillis());
        if (since != RequestTrace.NEVER && a.firstByteAt > since + grace + SLACK / 2) {
            broken(
                    Invariant.DRAIN,
                    r.id,
                    since,
                    a.firstByteAt,
                    at + " " + millis(a.firstByteAt - since) + " ms after the router was told");
        }
    }

    private void deadline(RequestTrace r, AttemptTrace a, String at) {
        if (r.sentAt == RequestTrace.NEVER) {
            return;
        }
        long left = r.sentAt + r.budgetNanos - a.arrivedAt;
        if (TimeUnit.MILLISECONDS.toNanos(a.toldMillis) > Math.max(0, left) + HOLD_UP + SLACK / 2) {
            broken(
                    Invariant.DEADLINE_TOLD,
                    r.id,
                    r.sentAt,
                    a.arrivedAt,
                    at + " told " + a.toldMillis + " ms where " + millis(left) + " were left");
        }
    }

    private void released(RequestTrace r) {
        RouterLife life = time.life(r.router, r.routerLife);
        for (HoldTrace hold : r.holds) {
            long from = hold.heldAt;
            for (AttemptTrace a : r.attempts) {
                if (a.arrivedAt < hold.goneAt) {
                    from = Math.max(from, Math.min(a.endedAt, hold.goneAt));
                }
            }
            long due =
                    from
                            + TimeUnit.MILLISECONDS.toNanos(rules.releaseMillis())
                            + HELD_SLACK
                            + SLACK / 2;
            if (hold.goneAt > due
                    && life.killedAt > due
                    && life.endedAt > due
                    && due < time.lastObservedAt()) {
                broken(
                        Invariant.RELEASED,
                        r.id,
                        from,
                        due,
                        "held at "
                                + hold.worker
                                + " by n"
                                + r.router
                                + ", "
                                + (hold.goneAt == RequestTrace.NEVER
                                        ? "never released"
                                        : "released " + millis(hold.goneAt - from) + " ms later")
                                + ", answered "
                                + r.status);
            }
        }
    }

    private void stream(RequestTrace r) {
        if (r.status != 200) {
            return;
        }
        RouterLife life = time.life(r.router, r.routerLife);
        if (r.longestEventDelay > EVENT_LIMIT + SLACK
                && !r.slowReader
                && life.killedAt > r.sentAt + r.budgetNanos) {
            broken(
                    Invariant.EVENTS_IN_TIME,
                    r.id,
                    r.sentAt,
                    Math.min(r.answeredAt, time.lastObservedAt()),
                    "an event came "
                            + millis(r.longestEventDelay)
                            + " ms late through n"
                            + r.router);
        }
        if (r.whole && r.attempts.stream().noneMatch(a -> a.streamFinished)) {
            broken(
                    Invariant.WHOLE_STREAMS,
                    r.id,
                    r.sentAt,
                    r.answeredAt,
                    "ended as whole, and no worker finished it");
        }
        // What a worker wrote into a link that was cut has not reached the router.
        boolean finished =
                r.attempts.stream()
                        .anyMatch(
                                a ->
                                        a.streamFinished
                                                && !time.wasLinkCut(
                                                        r.router,
                                                        a.worker,
                                                        a.endedAt - STREAM_END,
                                                        a.endedAt + STREAM_END));
        if (!r.whole
                && finished
                && r.leftAt == RequestTrace.NEVER
                && life.killedAt == RequestTrace.NEVER) {
            long end =
                    r.attempts.stream()
                            .filter(a -> a.streamFinished)
                            .mapToLong(a -> a.endedAt)
                            .max()
                            .orElseThrow();
            if (time.lastObservedAt() > end + STREAM_END && !r.slowReader) {
                broken(
                        Invariant.WHOLE_STREAMS,
                        r.id,
                        end,
                        end,
                        "finished by its worker, and cut off or stuck");
            }
        }
    }

    private void process(RouterLife life) {
        String name = "n" + life.router + "." + life.life;
        boolean told = life.termAt != RequestTrace.NEVER || life.killedAt != RequestTrace.NEVER;
        if (life.endedAt != RequestTrace.NEVER && !told) {
            broken(
                    Invariant.ALIVE,
                    name,
                    life.endedAt,
                    life.endedAt,
                    "ended by itself with " + life.exitStatus);
        }
        if (life.termAt != RequestTrace.NEVER
                && life.killedAt == RequestTrace.NEVER
                && life.exitStatus != 0) {
            broken(
                    Invariant.ALIVE,
                    name,
                    life.termAt,
                    life.termAt,
                    "ended with " + life.exitStatus + " after SIGTERM");
        }
        long readyBy = life.startedAt + READY_LIMIT;
        if (life.readyAt > readyBy
                && life.killedAt > readyBy
                && life.termAt > readyBy
                && time.lastObservedAt() > readyBy) {
            broken(Invariant.READY, name, life.startedAt, readyBy, "not ready in 10 s");
        }
    }

    /**
     * The budget is the rules' own: a multiple of what the worker can do just then, and what chance
     * adds.
     */
    private void slowStart(WorkerStart start, double requestsPerSecond) {
        List<RequestTrace> to =
                log.requests().stream()
                        .filter(
                                r ->
                                        r.attempts.stream()
                                                .anyMatch(
                                                        a ->
                                                                a.worker.equals(start.worker)
                                                                        && a.arrivedAt >= start.at
                                                                        && a.mayHaveRun()))
                        .toList();
        long window = TimeUnit.MILLISECONDS.toNanos(rules.fallMillis());
        long cold = TimeUnit.MILLISECONDS.toNanos(rules.coldMillis());
        List<long[]> arrivals = new ArrayList<>();
        to.forEach(
                r ->
                        r.attempts.stream()
                                .filter(
                                        a ->
                                                a.worker.equals(start.worker)
                                                        && a.arrivedAt >= start.at
                                                        && a.arrivedAt < start.at + cold
                                                        && a.mayHaveRun())
                                .forEach(
                                        a ->
                                                arrivals.add(
                                                        new long[] {
                                                            a.arrivedAt,
                                                            start.toldAt.getOrDefault(
                                                                                    r.router,
                                                                                    RequestTrace
                                                                                            .NEVER)
                                                                            <= a.arrivedAt
                                                                    ? 1
                                                                    : 0
                                                        })));
        arrivals.sort(Comparator.comparingLong(a -> a[0]));
        for (int first = 0; first < arrivals.size(); first++) {
            long from = arrivals.get(first)[0];
            List<long[]> within =
                    arrivals.stream().filter(a -> a[0] >= from && a[0] < from + window).toList();
            double part =
                    Math.min(
                            1,
                            rules.coldFrom()
                                    + (1 - rules.coldFrom())
                                            * (from + window / 2.0 - start.at)
                                            / cold);
            double allowed = rules.fallMultiple() * part * requestsPerSecond * window / 1e9;
            double chance = allowed < 30 ? 3 * Math.sqrt(allowed) + 3 : 2 * Math.sqrt(allowed) + 2;
            long toldOf = within.stream().mapToLong(a -> a[1]).sum();
            if (within.size() > allowed + chance && toldOf > TOLD_SHARE * within.size()) {
                broken(
                        Invariant.SLOW_START,
                        start.worker,
                        from,
                        from + window,
                        within.size()
                                + " requests where "
                                + Math.round(allowed + chance)
                                + " are allowed, "
                                + toldOf
                                + " by routers that had been told");
                return;
            }
        }
    }

    private void badClient(ClientTraffic.BadClient client) {
        RouterLife life = time.life(client.router.number(), client.life);
        long due = client.connectedAt + BAD_LIMIT + SLACK;
        if (client.owed
                && client.heardAt > due
                && life.killedAt > due
                && time.lastObservedAt() > due) {
            broken(
                    Invariant.BAD_CLIENTS,
                    "n" + life.router,
                    client.connectedAt,
                    due,
                    "a bad client got neither an error nor a close in 3 s");
        }
    }
}
