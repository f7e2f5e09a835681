package sorrelhoist.protocol.http2;

import java.util.concurrent.TimeUnit;

/**
 * Detects a preface, header block or frame that stays incomplete for too long. A timer is armed
 * when input becomes incomplete; it is not armed again while all input is complete.
 */
final class IncompleteInputTimeout {
    private final ConnectionChannel channel;
    private final long timeoutNanos;
    private final Runnable onTimeout;
    private final EventLoopTimer timer;
    private boolean incomplete;
    private long incompleteSince;

    /**
     * Creates a timeout that has not started.
     *
     * @param channel the channel whose input is monitored
     * @param timeoutMicros time for which input may stay incomplete, in microseconds
     * @param onTimeout run when input stays incomplete for longer
     */
    IncompleteInputTimeout(ConnectionChannel channel, long timeoutMicros, Runnable onTimeout) {
        this.channel = channel;
        this.timeoutNanos = TimeUnit.MICROSECONDS.toNanos(timeoutMicros);
        this.onTimeout = onTimeout;
        this.timer = new EventLoopTimer(channel, timeoutMicros, this::check);
    }

    /** Marks the input as incomplete. A period that has already started continues. */
    void inputIncomplete() {
        if (!incomplete) {
            incomplete = true;
            incompleteSince = System.nanoTime();
            timer.arm();
        }
    }

    /** Marks the input as complete. */
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
