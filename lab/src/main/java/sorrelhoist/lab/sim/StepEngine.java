package sorrelhoist.lab.sim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;
import sorrelhoist.core.time.TimerQueue;

/**
 * An engine that works in steps, in virtual time: a step reads a chunk of prompt tokens, shared by
 * the prompts in its slots, and gives each running answer one token; its length grows with both.
 * What does not fit waits, and beyond its queue is refused. The figures are those of the stand-in
 * engine's template.
 */
final class StepEngine {
    private static final double STEP = 8_000;
    private static final double EACH_ANSWER = 100;
    private static final double READ_PER_MICRO = 0.02;
    private static final long CHUNK = 2048;
    private static final int SLOTS = 32;
    private static final int QUEUE = 64;
    private static final long KEPT = 150_000;

    /** Time, and things to come. */
    static final class World {
        final TimerQueue<Runnable> alarms = new TimerQueue<>();
        long now = 1_000_000;

        void in(long micros, Runnable what) {
            alarms.schedule(now + micros, what);
        }

        void run(long until) {
            while (alarms.nextDueMicros() <= until) {
                now = Math.max(now, alarms.nextDueMicros());
                alarms.pollDue(now).run();
            }
            now = until;
        }
    }

    private static final class Read {
        long left;
        Runnable done;
    }

    /** An answer on its way; its carrier drops it by the flag. */
    static final class Write {
        private int next;
        private int tokens;
        private IntConsumer token;
        boolean dropped;
    }

    private final World world;
    private final List<Read> reads = new ArrayList<>();
    private final List<Write> writes = new ArrayList<>();
    private final ArrayDeque<Write> waiting = new ArrayDeque<>();
    final PrefixCache texts = new PrefixCache(KEPT);
    private boolean stepping;
    boolean dead;

    StepEngine(World world) {
        this.world = world;
    }

    /** Reads so many tokens. {@return false where it is full} */
    boolean prefill(long missed, Runnable done) {
        if (reads.size() >= SLOTS + QUEUE) {
            return false;
        }
        Read r = new Read();
        r.left = Math.max(1, missed);
        r.done = done;
        reads.add(r);
        kick();
        return true;
    }

    /** Writes so many tokens, and tells of each. {@return null where it is full} */
    Write decode(int tokens, IntConsumer token) {
        if (writes.size() + waiting.size() >= SLOTS + QUEUE) {
            return null;
        }
        Write w = new Write();
        w.tokens = tokens;
        w.token = token;
        waiting.add(w);
        kick();
        return w;
    }

    private void kick() {
        if (stepping || dead || reads.isEmpty() && writes.isEmpty() && waiting.isEmpty()) {
            return;
        }
        stepping = true;
        while (!waiting.isEmpty() && writes.size() < SLOTS) {
            writes.add(waiting.poll());
        }
        long planned = 0;
        for (Read r : reads.subList(0, Math.min(SLOTS, reads.size()))) {
            planned += Math.min(CHUNK - planned, r.left);
        }
        world.in(
                (long) (STEP + planned / READ_PER_MICRO + EACH_ANSWER * writes.size()), this::step);
    }

    private void step() {
        stepping = false;
        if (dead) {
            return;
        }
        long left = CHUNK;
        for (Read r : new ArrayList<>(reads.subList(0, Math.min(SLOTS, reads.size())))) {
            long part = Math.min(left, r.left);
            left -= part;
            r.left -= part;
            if (r.left == 0) {
                reads.remove(r);
                r.done.run();
            }
        }
        for (Write w : new ArrayList<>(writes)) {
            if (!w.dropped) {
                w.token.accept(w.next++);
            }
            if (w.dropped || w.next == w.tokens) {
                writes.remove(w);
            }
        }
        kick();
    }
}
