package sorrelhoist.protocol.http2;

/** Runs a task after a delay. Arming a timer that is already armed has no effect. */
final class EventLoopTimer {
    private final ConnectionChannel channel;
    private final long delayMicros;
    private final Runnable task;
    private boolean armed;

    /**
     * Creates a timer that is not armed.
     *
     * @param channel the channel whose event loop runs the task
     * @param delayMicros delay between arming the timer and running the task, in microseconds
     * @param task the task, which may arm the timer again
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
