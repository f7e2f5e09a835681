package sorrelhoist.app.command;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import sun.misc.Signal;

/**
 * A program's life until it is told to end: the first signal asks for an end in good order, a
 * second one hurries.
 */
final class Lifetime {
    private final CountDownLatch asked = new CountDownLatch(1);
    private final AtomicInteger signals = new AtomicInteger();

    Lifetime() {
        for (String name : new String[] {"TERM", "INT"}) {
            Signal.handle(
                    new Signal(name),
                    s -> {
                        signals.incrementAndGet();
                        asked.countDown();
                    });
        }
    }

    void await() {
        try {
            asked.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    boolean hurried() {
        return signals.get() > 1;
    }

    boolean asked() {
        return signals.get() > 0;
    }
}
