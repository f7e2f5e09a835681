package sorrelhoist.lab.soak;

import java.util.concurrent.TimeUnit;
import sorrelhoist.lab.soak.FleetTimeline.RouterIncarnation;

/** Routers become ready and stay alive: {@link Invariant#READY} and {@link Invariant#ALIVE}. */
final class ProcessCheck {
    private static final long READY_LIMIT = TimeUnit.SECONDS.toNanos(10);
    private final FleetTimeline timeline;
    private final ViolationCollector violations;

    ProcessCheck(FleetTimeline timeline, ViolationCollector violations) {
        this.timeline = timeline;
        this.violations = violations;
    }

    void check(RouterIncarnation router) {
        String name = "n" + router.router + "." + router.number;
        boolean terminated = router.terminatedAt != RequestTrace.NEVER;
        boolean killed = router.killedAt != RequestTrace.NEVER;
        if (router.endedAt != RequestTrace.NEVER && !terminated && !killed) {
            String detail = "ended by itself with " + router.exitStatus;
            violations.add(Invariant.ALIVE, name, router.endedAt, router.endedAt, detail);
        }
        // Before it is ready a process may not have got as far as to handle the signal.
        boolean wasReady = router.readyAt < router.terminatedAt;
        if (terminated && wasReady && !killed && router.exitStatus != 0) {
            String detail = "ended with " + router.exitStatus + " after SIGTERM";
            violations.add(Invariant.ALIVE, name, router.terminatedAt, router.terminatedAt, detail);
        }
        long readyBy = router.startedAt + READY_LIMIT;
        if (router.readyAt > readyBy
                && router.killedAt > readyBy
                && router.terminatedAt > readyBy
                && timeline.lastObservedAt() > readyBy) {
            violations.add(Invariant.READY, name, router.startedAt, readyBy, "not ready in 10 s");
        }
    }
}
