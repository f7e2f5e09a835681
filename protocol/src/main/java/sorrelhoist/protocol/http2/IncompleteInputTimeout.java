package sorrelhoist.protocol.http2;

import java.util.concurrent.TimeUnit;

/**
 * Times how long a preface, header block or frame has been incomplete. There is one timer for each
 * period of waiting, and none while all input is complete.
 */
final class IncompleteInputTimeout {
    private final ConnectionChannel channel;
    private final long timeoutNanos;
    private final Runnable onTimeout;
    private final EventLoopTimer timer;
    private boolean incomplete;
    private long incompleteSince;

    /**
     * Creates a timeout that is not running.
     *
     * @param channel whose input is timed
     * @param timeoutMicros for which input may stay incomplete
     * @param onTimeout run when it stayed so for longer
     */
    IncompleteInputTimeout(ConnectionChannel channel, long timeoutMicros, Runnable onTimeout) {
        this.channel = channel;
        this.timeoutNanos = TimeUnit.MICROSECONDS.toNanos(timeoutMicros);
        this.onTimeout = onTimeout;
        this.timer = new EventLoopTimer(channel, timeoutMicros, this::check);
    }

    /** The peer owes the rest of something; a wait that runs already goes on. */
    void inputIncomplete() {
        if (!incomplete) {
            incomplete = true;
            incompleteSince = System.nanoTime();
            timer.arm();
        }
    }

    /** All that was begun is complete. */
    void inputComplete() {
        incomplete = false;
    }

    private void check() {
        if (!incomplete || channel.isClosing() || !channel.isActive()) {
            return;
        }
        if (System.nanoTime() - incompleteSince >= timeoutNanos) {
            onTimeout.run();
        } else {
            timer.arm();
        }
    }
}
