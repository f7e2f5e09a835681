package sorrelhoist.protocol.http2;

/** Runs one task some time after it was armed; arming it again before that changes nothing. */
final class EventLoopTimer {
    private final ConnectionChannel channel;
    private final long delayMicros;
    private final Runnable task;
    private boolean armed;

    /**
     * Creates a timer that is not armed.
     *
     * @param channel whose event loop runs the task
     * @param delayMicros from arming to the run
     * @param task may arm the timer again
     */
    EventLoopTimer(ConnectionChannel channel, long delayMicros, Runnable task) {
        this.channel = channel;
        this.delayMicros = delayMicros;
        this.task = task;
    }

    void arm() {
        if (!armed) {
            armed = true;
            channel.schedule(this::fire, delayMicros);
        }
    }

    private void fire() {
        armed = false;
        task.run();
    }
}
