package sorrelhoist.app.command;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import sun.misc.Signal;

/**
 * SIGTERM and SIGINT: the first signal asks a program to shut down gracefully, a second one to
 * hurry.
 */
final class ShutdownSignal {
    private static final String[] SIGNALS = {"TERM", "INT"};

    private final CountDownLatch received = new CountDownLatch(1);
    private final AtomicInteger count = new AtomicInteger();

    /** Handles the signals from now on. */
    ShutdownSignal() {
        for (String name : SIGNALS) {
            Signal.handle(new Signal(name), this::handle);
        }
    }

    private void handle(Signal signal) {
        count.incrementAndGet();
        received.countDown();
    }

    /** Waits for the first signal. */
    void await() {
        try {
            received.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** {@return whether a second signal has come} */
    boolean isHurried() {
        return count.get() > 1;
    }
}
