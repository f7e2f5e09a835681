package sorrelhoist.core.reservation;

import java.util.ArrayList;
import java.util.List;

/** A reservation table in virtual time that records its release calls. */
abstract class ReservationTableTestSupport {
    static final long LIMIT = 500_000;
    static final int CAPACITY = 8;
    static final ReleasePolicy POLICY = new ReleasePolicy(ReleaseReach.ANY_ENGINE, LIMIT);
    static final ReservationKey KEY = ReservationKey.ofRequest("a");

    final List<ReleaseCall> calls = new ArrayList<>();
    final List<Long> callTimes = new ArrayList<>();
    final List<Long> abandoned = new ArrayList<>();
    final List<String> expired = new ArrayList<>();
    final List<ReservationReport> reports = new ArrayList<>();
    final EngineActivity engines = new EngineActivity(2 * POLICY.retryMicros());
    long now;
    final ReservationTable table =
            new ReservationTable(
                    POLICY,
                    engines,
                    new ReleaseClient() {
                        @Override
                        public void release(ReleaseCall call) {
                            calls.add(call);
                            callTimes.add(now);
                        }

                        @Override
                        public void abandon(long call) {
                            abandoned.add(call);
                        }

                        @Override
                        public void expired(ReservationKey key, String engine, int made) {
                            expired.add(key.requestName() + " at " + engine + " after " + made);
                        }

                        @Override
                        public void report(ReservationReport report) {
                            reports.add(report);
                        }
                    },
                    CAPACITY);

    ReservationTableTestSupport() {
        engines.replaced(List.of("r0", "r1", "w0", "w1"));
    }

    void advanceTo(long time) {
        while (table.nextDueMicros() <= time) {
            now = Math.max(now, table.nextDueMicros());
            table.advance(now);
        }
        now = time;
    }

    /** Advances the time and answers each release at once. */
    void advanceAnsweringTo(long time) {
        while (table.nextDueMicros() <= time) {
            int before = calls.size();
            advanceTo(Math.max(now, table.nextDueMicros()));
            if (calls.size() > before) {
                answerLast(true);
            }
        }
        now = time;
    }

    /** {@return the longest time without a release between two times, in microseconds} */
    long longestTimeWithoutRelease(long from, long to) {
        long longest = 0;
        long last = from;
        for (long calledAt : callTimes) {
            if (calledAt > from && calledAt <= to) {
                longest = Math.max(longest, calledAt - last);
                last = calledAt;
            }
        }
        return Math.max(longest, to - last);
    }

    ReleaseCall lastCall() {
        return calls.get(calls.size() - 1);
    }

    void answerLast(boolean done) {
        table.releaseCompleted(lastCall().id(), done, now);
    }
}
