package sorrelhoist.core.request;

import sorrelhoist.core.time.TimerQueue;
import sorrelhoist.routing.RoutingEvents.Outcome;

/** Monitors running streams for engines that stop sending and for clients that stop reading. */
final class StreamMonitor {
    private final StreamTimeouts timeouts;
    private final long clientStallTimeoutMicros;
    private final TimerQueue<RouterTimer> timers;
    private final RouterClock clock;
    private final AttemptFailures failures;
    private final ClientResponses responses;

    StreamMonitor(
            RouterSettings settings,
            TimerQueue<RouterTimer> timers,
            RouterClock clock,
            AttemptFailures failures,
            ClientResponses responses) {
        this.timeouts =
                new StreamTimeouts(settings.streams(), settings.routing().serverKinds().size());
        this.clientStallTimeoutMicros = settings.streams().clientStallTimeoutMicros();
        this.timers = timers;
        this.clock = clock;
        this.failures = failures;
        this.responses = responses;
    }

    /** Called when the first token of a stream was received. */
    void streamStarted(Attempt attempt) {
        attempt.lastTokenAt = clock.now();
        scheduleCheck(attempt);
    }

    /** Called when a token after the first one was received. */
    void tokenReceived(Attempt attempt) {
        timeouts.tokenReceived(attempt, clock.now());
        attempt.lastTokenAt = clock.now();
    }

    /** Called when bytes of an opaque event were received. */
    void bytesReceived(Attempt attempt) {
        attempt.lastBytesAt = clock.now();
    }

    /** Cancels a stream that has been silent for too long; otherwise schedules the next check. */
    void checkSilence(Attempt attempt) {
        if (attempt.ended) {
            return;
        }
        if (clock.now() < timeouts.deadAt(attempt)) {
            scheduleCheck(attempt);
            return;
        }
        long silentMicros = clock.now() - Math.max(attempt.lastTokenAt, attempt.lastBytesAt);
        responses.log(
                attempt.request,
                "stream received no data for "
                        + silentMicros
                        + " us; cancelling its attempt at "
                        + attempt.engine);
        failures.cancelAttempt(attempt, Outcome.TIMED_OUT);
    }

    /**
     * Called when a client stops or resumes reading its answer. While the client does not read,
     * backpressure stops the engine, so its silence is not treated as a failure.
     */
    void clientBackpressureChanged(RequestState request, boolean blocked) {
        boolean wasBlocked = request.blockedSince > 0;
        if (blocked == wasBlocked) {
            return;
        }
        if (blocked) {
            request.blockedSince = Math.max(1, clock.now());
            scheduleStallCheck(request);
            return;
        }
        request.blockedSince = 0;
        if (request.runningAttempt != null) {
            request.runningAttempt.lastTokenAt = clock.now();
        }
    }

    /** Called when a blocked client has read some of its answer: it is slow, not stalled. */
    void clientReadSome(RequestState request) {
        if (request.blockedSince > 0) {
            request.blockedSince = Math.max(1, clock.now());
        }
    }

    /**
     * {@return whether a client has not read for too long} If it has not, schedules the next check
     * as long as the client is blocked.
     */
    boolean isStalled(RequestState request) {
        request.stallCheckScheduled = false;
        if (request.finished || request.blockedSince == 0) {
            return false;
        }
        if (clock.now() - request.blockedSince >= clientStallTimeoutMicros) {
            return true;
        }
        scheduleStallCheck(request);
        return false;
    }

    private void scheduleStallCheck(RequestState request) {
        if (!request.stallCheckScheduled) {
            request.stallCheckScheduled = true;
            timers.schedule(
                    request.blockedSince + clientStallTimeoutMicros,
                    new RouterTimer.ClientStall(request));
        }
    }

    private void scheduleCheck(Attempt attempt) {
        timers.schedule(
                timeouts.nextCheckAt(attempt, clock.now()), new RouterTimer.StreamSilence(attempt));
    }
}
