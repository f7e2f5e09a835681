package sorrelhoist.lab.soak;

import java.util.concurrent.TimeUnit;
import sorrelhoist.lab.soak.FleetTimeline.RouterIncarnation;

/** Every request gets one final response in time: {@link Invariant#ANSWERED}. */
final class ResponseCheck {
    private static final long LATENESS_LIMIT = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long KILL_GRACE = TimeUnit.MILLISECONDS.toNanos(700);
    private static final int NO_STATUS = 0;
    private static final int OK = 200;
    private final FleetTimeline timeline;
    private final ViolationCollector violations;

    ResponseCheck(FleetTimeline timeline, ViolationCollector violations) {
        this.timeline = timeline;
        this.violations = violations;
    }

    void check(RequestTrace request) {
        if (request.sentAt == RequestTrace.NEVER) {
            return;
        }
        long due = request.sentAt + request.budgetNanos + LATENESS_LIMIT;
        boolean closed = request.closedAt != RequestTrace.NEVER;
        if (request.status != NO_STATUS) {
            checkTime(request, due);
        } else if (closed) {
            checkClose(request);
        } else if (request.abandonedAt > due) {
            checkSilence(request, due);
        }
    }

    private void checkTime(RequestTrace request, long due) {
        boolean answered = request.answeredAt != RequestTrace.NEVER;
        if (request.status != OK && answered && request.answeredAt > due) {
            long millis = TimeUnit.NANOSECONDS.toMillis(request.answeredAt - request.sentAt);
            String detail = "answered " + request.status + " " + millis + " ms after it was sent";
            add(request, request.answeredAt, detail);
        }
    }

    private void checkSilence(RequestTrace request, long due) {
        RouterIncarnation router = routerOf(request);
        if (router.killedAt > due && router.endedAt > request.sentAt) {
            add(request, due, "nothing came in its time");
        }
    }

    private void checkClose(RequestTrace request) {
        RouterIncarnation router = routerOf(request);
        if (router.killedAt <= request.closedAt) {
            checkKill(request, router);
            return;
        }
        // A request on a kept connection may cross the router's close of it.
        boolean crossed = !request.firstOnConnection && request.attempts.isEmpty();
        if (!crossed && !timeline.wasFlooded(request.sentAt, request.closedAt)) {
            String connection =
                    request.firstOnConnection ? "connection (a fresh one)" : "connection";
            add(request, request.closedAt, "its " + connection + " was ended with no answer");
        }
    }

    /** What a router takes late in its shutdown has to be answered before the kill. */
    private void checkKill(RequestTrace request, RouterIncarnation router) {
        boolean terminated = router.terminatedAt != RequestTrace.NEVER;
        if (terminated && request.sentAt > router.terminatedAt + KILL_GRACE) {
            long millis = TimeUnit.NANOSECONDS.toMillis(request.sentAt - router.terminatedAt);
            add(request, router.killedAt, "sent " + millis + " ms after SIGTERM, open at SIGKILL");
        }
    }

    private RouterIncarnation routerOf(RequestTrace request) {
        return timeline.incarnation(request.router, request.routerIncarnation);
    }

    private void add(RequestTrace request, long at, String detail) {
        String subject =
                request.requestClass
                        + " at n"
                        + request.router
                        + " with "
                        + request.attempts.size()
                        + " attempts: ";
        violations.add(Invariant.ANSWERED, request.id, request.sentAt, at, subject + detail);
    }
}
