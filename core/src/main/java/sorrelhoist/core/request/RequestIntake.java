package sorrelhoist.core.request;

import sorrelhoist.core.time.TimerQueue;

/** Opens arriving requests, computes their deadlines and schedules the timers that enforce them. */
final class RequestIntake {
    /**
     * Time after a client's deadline by which the policy has answered every request that is not
     * streaming.
     */
    private static final long RESULT_OVERDUE_MICROS = 150_000;

    private final RouterSettings settings;
    private final RequestTable requests;
    private final RequestSubmitter submitter;
    private final TimerQueue<RouterTimer> timers;
    private final RouterClock clock;

    RequestIntake(
            RouterSettings settings,
            RequestTable requests,
            RequestSubmitter submitter,
            TimerQueue<RouterTimer> timers,
            RouterClock clock) {
        this.settings = settings;
        this.requests = requests;
        this.submitter = submitter;
        this.timers = timers;
        this.clock = clock;
    }

    RequestState open(InferenceRequest parameters) {
        return requests.open(parameters, deadlineOf(parameters));
    }

    private long deadlineOf(InferenceRequest parameters) {
        if (parameters.timeoutMicros() <= 0) {
            return RequestState.NO_DEADLINE;
        }
        long margin = settings.timeouts().deadlineMarginMicros();
        return clock.now() + Math.max(0, parameters.timeoutMicros() - margin);
    }

    /** Submits an admitted request to the routing policy. */
    void submit(RequestState request) {
        if (request.hasDeadline()) {
            timers.schedule(
                    request.deadline + RESULT_OVERDUE_MICROS,
                    new RouterTimer.ResultOverdue(request.clientId));
        }
        submitter.submit(request);
    }

    /**
     * Schedules the end of the stream at the client's deadline, if the deployment is configured to
     * do so.
     */
    void scheduleDeadline(RequestState request) {
        if (request.hasDeadline() && settings.streams().endAtClientDeadline()) {
            timers.schedule(request.deadline, new RouterTimer.ClientDeadline(request));
        }
    }
}
