package sorrelhoist.lab.soak;

import java.util.concurrent.TimeUnit;
import sorrelhoist.lab.soak.FleetTimeline.RouterIncarnation;
import sorrelhoist.lab.soak.RequestTrace.AttemptTrace;

/**
 * Streams are passed on in time and complete: {@link Invariant#EVENTS_IN_TIME} and {@link
 * Invariant#WHOLE_STREAMS}.
 */
final class StreamCheck {
    private static final int OK = 200;
    private static final long EVENT_DELAY_LIMIT = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long STREAM_END_LIMIT = TimeUnit.SECONDS.toNanos(1);
    private final FleetTimeline timeline;
    private final ViolationCollector violations;

    StreamCheck(FleetTimeline timeline, ViolationCollector violations) {
        this.timeline = timeline;
        this.violations = violations;
    }

    void check(RequestTrace request) {
        if (request.status != OK) {
            return;
        }
        RouterIncarnation router = timeline.incarnation(request.router, request.routerIncarnation);
        checkDelay(request, router);
        if (request.complete) {
            checkFinishedByWorker(request);
        } else {
            checkCutOff(request, router);
        }
    }

    private void checkDelay(RequestTrace request, RouterIncarnation router) {
        if (request.maxEventDelay > EVENT_DELAY_LIMIT + Tolerances.TIMESTAMP
                && !request.readSlowly
                && request.attempts.stream().noneMatch(a -> cameLate(request, a))
                && router.killedAt > request.sentAt + request.budgetNanos) {
            long millis = TimeUnit.NANOSECONDS.toMillis(request.maxEventDelay);
            violations.add(
                    Invariant.EVENTS_IN_TIME,
                    request.id,
                    request.sentAt,
                    Math.min(request.answeredAt, timeline.lastObservedAt()),
                    "an event came " + millis + " ms late through n" + request.router);
        }
    }

    /** Whether a link held bytes of a stream back, which reach the router late then. */
    private boolean cameLate(RequestTrace request, AttemptTrace attempt) {
        long until = Math.min(attempt.endedAt, timeline.lastObservedAt());
        return timeline.wasLinkFaulty(
                request.router, attempt.worker, attempt.firstByteAt, until + EVENT_DELAY_LIMIT);
    }

    private void checkFinishedByWorker(RequestTrace request) {
        if (request.attempts.stream().noneMatch(attempt -> attempt.streamFinished)) {
            violations.add(
                    Invariant.WHOLE_STREAMS,
                    request.id,
                    request.sentAt,
                    request.answeredAt,
                    "ended as whole, and no worker finished it");
        }
    }

    private void checkCutOff(RequestTrace request, RouterIncarnation router) {
        boolean excused =
                request.abandonedAt != RequestTrace.NEVER
                        || router.killedAt != RequestTrace.NEVER
                        || request.readSlowly;
        if (excused || request.attempts.stream().noneMatch(a -> reachedRouter(request, a))) {
            return;
        }
        long finishedAt =
                request.attempts.stream()
                        .filter(attempt -> attempt.streamFinished)
                        .mapToLong(attempt -> attempt.endedAt)
                        .max()
                        .orElseThrow();
        if (timeline.lastObservedAt() > finishedAt + STREAM_END_LIMIT) {
            violations.add(
                    Invariant.WHOLE_STREAMS,
                    request.id,
                    finishedAt,
                    finishedAt,
                    "finished by its worker, and cut off or stuck");
        }
    }

    /** What a worker wrote into a faulty link has not reached the router. */
    private boolean reachedRouter(RequestTrace request, AttemptTrace attempt) {
        return attempt.streamFinished
                && !timeline.wasLinkFaulty(
                        request.router,
                        attempt.worker,
                        attempt.endedAt - STREAM_END_LIMIT,
                        attempt.endedAt + STREAM_END_LIMIT);
    }
}
