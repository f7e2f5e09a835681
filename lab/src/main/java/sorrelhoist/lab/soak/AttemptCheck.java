package sorrelhoist.lab.soak;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import sorrelhoist.lab.soak.FleetRules.RequestClass;
import sorrelhoist.lab.soak.RequestTrace.AttemptTrace;
import sorrelhoist.lab.soak.WorkerEntry.Role;

/**
 * What routers send to workers: nothing after the end of a request, one attempt at a time, no
 * second effect, nothing to draining workers, and no more time than is left. A send is dated when
 * its router made it: what its link delays is not the router's.
 */
final class AttemptCheck {
    private static final long CLIENT_LEFT_LIMIT = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long DELIVERY_AFTER_SILENCE = TimeUnit.MILLISECONDS.toNanos(300);
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private final FleetRules rules;
    private final FleetTimeline timeline;
    private final ViolationCollector violations;

    AttemptCheck(FleetRules rules, FleetTimeline timeline, ViolationCollector violations) {
        this.rules = rules;
        this.timeline = timeline;
        this.violations = violations;
    }

    void check(RequestTrace request) {
        long runningUntil = Long.MIN_VALUE;
        for (AttemptTrace attempt : inOrderOfSending(request)) {
            checkAfterAnswer(request, attempt);
            checkAfterClientLeft(request, attempt);
            if (attempt.firstByteSentAt() < runningUntil) {
                violations.add(
                        Invariant.ONE_ATTEMPT_AT_A_TIME,
                        request.id,
                        attempt.firstByteSentAt(),
                        attempt.firstByteSentAt(),
                        describe(request, attempt) + " while another was out");
            }
            if (attempt.endedAt != RequestTrace.NEVER && !wasCutOff(request, attempt)) {
                runningUntil = Math.max(runningUntil, attempt.endedAt - Tolerances.TIMESTAMP);
            }
            checkDrain(request, attempt);
            checkBudget(request, attempt);
        }
        checkEffects(request);
        checkIdempotencyWindow(request);
    }

    private static List<AttemptTrace> inOrderOfSending(RequestTrace request) {
        return request.attempts.stream()
                .sorted(Comparator.comparingLong(AttemptTrace::firstByteSentAt))
                .toList();
    }

    private static String describe(RequestTrace request, AttemptTrace attempt) {
        return attempt.role + " at " + attempt.worker + " from n" + request.router;
    }

    private void checkAfterAnswer(RequestTrace request, AttemptTrace attempt) {
        long answeredAt = request.answeredAt;
        if (answeredAt != RequestTrace.NEVER
                && attempt.firstByteSentAt() > answeredAt + Tolerances.TIMESTAMP) {
            String delay =
                    " " + millis(attempt.firstByteSentAt() - answeredAt) + " ms after the answer";
            violations.add(
                    Invariant.NOTHING_AFTER_ANSWER,
                    request.id,
                    answeredAt,
                    attempt.firstByteSentAt(),
                    describe(request, attempt) + delay);
        }
    }

    private void checkAfterClientLeft(RequestTrace request, AttemptTrace attempt) {
        long leftAt = request.abandonedAt;
        if (leftAt != RequestTrace.NEVER
                && attempt.firstByteSentAt()
                        > leftAt + CLIENT_LEFT_LIMIT + Tolerances.ROUTER_PAUSE) {
            String delay =
                    " " + millis(attempt.firstByteSentAt() - leftAt) + " ms after its client left";
            violations.add(
                    Invariant.NOTHING_AFTER_CLIENT_LEFT,
                    request.id,
                    leftAt,
                    attempt.firstByteSentAt(),
                    describe(request, attempt) + delay);
        }
    }

    private void checkDrain(RequestTrace request, AttemptTrace attempt) {
        long since =
                timeline.notAcceptingSince(
                        attempt.worker,
                        request.router,
                        request.routerIncarnation,
                        attempt.firstByteSentAt());
        long grace = TimeUnit.MILLISECONDS.toNanos(rules.drainGraceMillis());
        if (since != RequestTrace.NEVER
                && !wasDelayed(request, attempt)
                && attempt.firstByteSentAt() > since + grace + Tolerances.TIMESTAMP / 2) {
            String delay =
                    " "
                            + millis(attempt.firstByteSentAt() - since)
                            + " ms after the router was told";
            violations.add(
                    Invariant.DRAIN,
                    request.id,
                    since,
                    attempt.firstByteSentAt(),
                    describe(request, attempt) + delay);
        }
    }

    private void checkBudget(RequestTrace request, AttemptTrace attempt) {
        if (request.sentAt == RequestTrace.NEVER || wasDelayed(request, attempt)) {
            return;
        }
        long left = request.sentAt + request.budgetNanos - attempt.firstByteSentAt();
        long allowed = Math.max(0, left) + Tolerances.ROUTER_PAUSE + Tolerances.TIMESTAMP / 2;
        if (TimeUnit.MILLISECONDS.toNanos(attempt.budgetMillis) > allowed) {
            String budget =
                    " told " + attempt.budgetMillis + " ms where " + millis(left) + " were left";
            violations.add(
                    Invariant.DEADLINE_TOLD,
                    request.id,
                    request.sentAt,
                    attempt.arrivedAt,
                    describe(request, attempt) + budget);
        }
    }

    /** {@return whether its link was silent meanwhile: its worker did not see how it ended} */
    private boolean wasCutOff(RequestTrace request, AttemptTrace attempt) {
        return timeline.wasLinkFaulty(
                request.router, attempt.worker, attempt.firstByteAt, attempt.endedAt);
    }

    /** {@return whether its link was silent just before it came: it may have been sent long ago} */
    private boolean wasDelayed(RequestTrace request, AttemptTrace attempt) {
        long sentAt = attempt.firstByteSentAt();
        return timeline.wasLinkFaulty(
                request.router, attempt.worker, sentAt - DELIVERY_AFTER_SILENCE, sentAt);
    }

    private void checkEffects(RequestTrace request) {
        if (request.requestClass != RequestClass.UNSAFE) {
            return;
        }
        long effects = request.attempts.stream().filter(AttemptCheck::mayHaveEffect).count();
        boolean rejected = request.status == UNAVAILABLE || request.status == TOO_MANY_REQUESTS;
        if (effects > 1 || effects == 1 && rejected) {
            violations.add(
                    Invariant.ONE_EFFECT,
                    request.id,
                    request.sentAt,
                    request.attempts.get(0).arrivedAt,
                    effects + " attempts may have run, answered " + request.status);
        }
    }

    private static boolean mayHaveEffect(AttemptTrace attempt) {
        return attempt.role == Role.WRITE && attempt.mayHaveRun();
    }

    /** The window is of sends: a worker that stands still may take one later. */
    private void checkIdempotencyWindow(RequestTrace request) {
        if (request.requestClass != RequestClass.KEYED) {
            return;
        }
        long window = TimeUnit.MILLISECONDS.toNanos(rules.idempotencyWindowMillis());
        long first = RequestTrace.NEVER;
        for (AttemptTrace attempt : inOrderOfSending(request)) {
            if (!mayHaveEffect(attempt)) {
                continue;
            }
            if (first != RequestTrace.NEVER
                    && attempt.lastByteSentAt() > first + window + Tolerances.TIMESTAMP / 2) {
                String delay = millis(attempt.lastByteSentAt() - first) + " ms";
                violations.add(
                        Invariant.ONE_EFFECT,
                        request.id,
                        first,
                        attempt.lastByteSentAt(),
                        "repeated at "
                                + attempt.worker
                                + " "
                                + delay
                                + " after an attempt that may have run");
            }
            first = Math.min(first, attempt.lastByteSentAt());
        }
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
