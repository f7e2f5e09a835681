package sorrelhoist.app.command;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import sun.misc.Signal;

/**
 * Handles SIGTERM and SIGINT: the first signal requests a graceful shutdown, a second one a faster
 * shutdown.
 */
final class ShutdownSignal {
    private static final String[] SIGNALS = {"TERM", "INT"};

    private final CountDownLatch received = new CountDownLatch(1);
    private final AtomicInteger count = new AtomicInteger();

    /** Installs the signal handlers. */
    ShutdownSignal() {
        for (String name : SIGNALS) {
            Signal.handle(new Signal(name), this::handle);
        }
    }

    private void handle(Signal signal) {
        count.incrementAndGet();
        received.countDown();
    }

    /** Blocks until the first signal, or until the thread is interrupted. */
    void await() {
        try {
            received.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** {@return whether a second signal was received} */
    boolean isHurried() {
        return count.get() > 1;
    }
}
