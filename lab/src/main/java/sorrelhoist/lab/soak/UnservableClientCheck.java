package sorrelhoist.lab.soak;

import java.util.concurrent.TimeUnit;
import sorrelhoist.lab.soak.FleetTimeline.RouterIncarnation;

/** What cannot be served is told so, or closed, in time: {@link Invariant#BAD_CLIENTS}. */
final class UnservableClientCheck {
    private static final long RESPONSE_LIMIT = TimeUnit.SECONDS.toNanos(3);
    private final FleetTimeline timeline;
    private final ViolationCollector violations;

    UnservableClientCheck(FleetTimeline timeline, ViolationCollector violations) {
        this.timeline = timeline;
        this.violations = violations;
    }

    void check(UnservableClient client) {
        RouterIncarnation router =
                timeline.incarnation(client.router().number(), client.routerIncarnation());
        long due = client.connectedAt() + RESPONSE_LIMIT + Tolerances.TIMESTAMP;
        if (client.expectsResponse()
                && client.respondedAt() > due
                && router.killedAt > due
                && timeline.lastObservedAt() > due) {
            violations.add(
                    Invariant.BAD_CLIENTS,
                    "n" + router.router,
                    client.connectedAt(),
                    due,
                    "a bad client got neither an error nor a close in 3 s");
        }
    }
}
