package sorrelhoist.core.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import sorrelhoist.core.time.TimerQueue;

/**
 * Simulates engines that answer release calls and reachability checks automatically, except for the
 * engines marked as silent. The test itself controls the outcomes of attempts.
 */
abstract class AnsweringEnginesTestSupport extends PlatformAttemptTestSupport {
    private static final long ANSWER_MICROS = 2 * STEP;

    /** Time after which the transport stops waiting for the answer to a reachability check. */
    private static final long REACHABILITY_CHECK_TIMEOUT_MICROS = Fleet.SECOND;

    private static final long MICROS_PER_MILLI = 1000;

    /** Engines that receive nothing and send nothing. */
    final Set<String> silentEngines = new HashSet<>();

    private final TimerQueue<Runnable> answers = new TimerQueue<>();
    private final List<Long> releaseTimes = new ArrayList<>();
    private int commandsSeen;

    /** Advances time to {@code time}, with all engines that are not silent answering. */
    void advanceAnsweringTo(long time) {
        answerNewCommands();
        while (now < time) {
            advanceTo(now + STEP);
            for (Runnable due = answers.pollDue(now); due != null; due = answers.pollDue(now)) {
                due.run();
            }
            answerNewCommands();
        }
    }

    private void answerNewCommands() {
        List<Command> newCommands = List.copyOf(commands.subList(commandsSeen, commands.size()));
        commandsSeen = commands.size();
        for (Command command : newCommands) {
            if (command instanceof Command.ReleaseReservation release) {
                releaseTimes.add(now);
                answerRelease(release, now);
            } else if (command instanceof Command.CheckReachability check) {
                answerReachabilityCheck(check, now);
            }
        }
    }

    private void answerRelease(Command.ReleaseReservation release, long writtenAt) {
        if (!silentEngines.contains(release.engine())) {
            answers.schedule(
                    now + ANSWER_MICROS,
                    () -> {
                        reportCallAnswered(release.engine(), writtenAt);
                        router.releaseCompleted(now, release.releaseId(), true);
                    });
        }
    }

    private void answerReachabilityCheck(Command.CheckReachability check, long writtenAt) {
        boolean silent = silentEngines.contains(check.engine());
        answers.schedule(
                now + (silent ? REACHABILITY_CHECK_TIMEOUT_MICROS : ANSWER_MICROS),
                () -> {
                    if (!silent) {
                        reportCallAnswered(check.engine(), writtenAt);
                    }
                    router.reachabilityChecked(now, check.engine(), true);
                });
    }

    int releases() {
        return all(Command.ReleaseReservation.class).size();
    }

    /** {@return the longest period without a release call between two times, in milliseconds} */
    long longestPauseMillis(long from, long to) {
        long longest = 0;
        long last = from;
        for (long releasedAt : releaseTimes) {
            if (releasedAt > from && releasedAt <= to) {
                longest = Math.max(longest, releasedAt - last);
                last = releasedAt;
            }
        }
        return Math.max(longest, to - last) / MICROS_PER_MILLI;
    }

    boolean wasReleasedBetween(long from, long to) {
        return releaseTimes.stream().anyMatch(time -> time >= from && time <= to);
    }

    /** {@return when the last release call was sent, in microseconds; 0 if none was sent} */
    long lastReleaseAt() {
        return releaseTimes.isEmpty() ? 0 : releaseTimes.get(releaseTimes.size() - 1);
    }
}
