package sorrelhoist.lab.soak;

import java.util.concurrent.TimeUnit;

/**
 * How far the oracle lets timestamps deviate, nanoseconds. The harness shares its machine with the
 * processes that it observes, so that its stamps and theirs are late now and then.
 */
final class Tolerances {
    /** What a timestamp of the harness may be late. */
    static final long TIMESTAMP = TimeUnit.MILLISECONDS.toNanos(100);

    /** What a router may be held up, as by the longest injected pause of its process. */
    static final long ROUTER_PAUSE = TimeUnit.MILLISECONDS.toNanos(150);

    private Tolerances() {}
}
