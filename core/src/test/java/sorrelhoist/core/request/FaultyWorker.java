package sorrelhoist.core.request;

import java.util.ArrayDeque;
import java.util.Random;
import java.util.function.Consumer;
import sorrelhoist.core.request.FaultyNetwork.Connection;
import sorrelhoist.core.request.RequestTruth.SentAttempt;
import sorrelhoist.core.request.RequestTruth.WorkerEnd;
import sorrelhoist.routing.RoutingEvents.Outcome;

/**
 * Simulates a worker of the platform. While the worker hangs, its machine still accepts bytes and
 * the closing of connections; the worker processes both when it continues.
 */
final class FaultyWorker {
    private static final long MILLI = 1000;
    private static final long MIN_PREFILL_MICROS = 5 * MILLI;
    private static final long USUAL_PREFILL_MICROS = 80 * MILLI;
    private static final long LONG_PREFILL_MICROS = 1200 * MILLI;
    private static final double LONG_PREFILL_SHARE = 0.1;
    private static final long MAX_QUEUE_MICROS = 150 * MILLI;
    private static final long MAX_EVENT_GAP_MICROS = 40 * MILLI;
    private static final int MAX_EVENTS = 25;
    private static final double REJECTED_SHARE = 0.04;
    private static final double ERROR_SHARE = 0.04;
    private static final double RESET_SHARE = 0.03;

    /** A decode with less time left than this may be dropped without a response. */
    private static final long LITTLE_TIME_MICROS = 400 * MILLI;

    private static final double DROPPED_SHARE = 0.5;

    /** Responses to the router for one attempt. */
    interface Answers {
        void prefillCompleted();

        void failed(Outcome outcome, long note);

        void streamEvent();

        void streamCompleted();
    }

    final String name;
    private final FaultyNetwork network;
    private final Random random;

    /** Whether the worker removes a decode whose connection has ended from its queue. */
    private final boolean cancelsQueued;

    /** Whether a prefill whose connection has ended continues and produces a state. */
    private final boolean prefillsGoOn;

    private final ArrayDeque<Runnable> untaken = new ArrayDeque<>();
    private long hungUntil;

    FaultyWorker(String name, FaultyNetwork network, Random random, boolean prefillsGoOn) {
        this.name = name;
        this.network = network;
        this.random = random;
        this.prefillsGoOn = prefillsGoOn;
        this.cancelsQueued = random.nextBoolean();
    }

    /** Makes the worker hang for {@code duration} microseconds. */
    void hang(long duration) {
        hungUntil = Math.max(hungUntil, network.now() + duration);
        network.after(duration, this::goOn);
    }

    private void goOn() {
        while (!isHung() && !untaken.isEmpty()) {
            untaken.pollFirst().run();
        }
    }

    boolean isHung() {
        return network.now() < hungUntil;
    }

    /** Runs a task now, or once the worker no longer hangs. */
    void whenItRuns(Runnable task) {
        if (isHung()) {
            untaken.addLast(task);
        } else {
            task.run();
        }
    }

    private void later(long micros, Runnable task) {
        network.after(micros, () -> whenItRuns(task));
    }

    // Attempts

    /** Called when the worker has received the last byte of an attempt. */
    void attemptArrives(SentAttempt attempt, RequestTruth request, Sender sender) {
        attempt.arrived(network.now());
        double luck = random.nextDouble();
        if (luck < REJECTED_SHARE) {
            answer(attempt, sender, answers -> answers.failed(Outcome.FULL, 0));
        } else if (luck < REJECTED_SHARE + ERROR_SHARE) {
            answer(attempt, sender, answers -> answers.failed(Outcome.ERROR, 0));
        } else {
            if (luck > 1 - RESET_SHARE) {
                sender.connection.reset();
            }
            if (attempt.prefill) {
                prefill(attempt, request, sender);
            } else {
                decode(attempt, request, sender);
            }
        }
    }

    /** The connection on which an attempt was received, and the receiver of its answers. */
    record Sender(Connection connection, Answers answers) {
        private void send(Consumer<Answers> answer) {
            connection.sendToRouter(() -> answer.accept(answers));
        }
    }

    private void answer(SentAttempt attempt, Sender sender, Consumer<Answers> answer) {
        attempt.overAtWorker(WorkerEnd.ANSWERED, network.now());
        sender.send(answer);
    }

    private void prefill(SentAttempt attempt, RequestTruth request, Sender sender) {
        boolean isLong = random.nextDouble() < LONG_PREFILL_SHARE;
        long longest = isLong ? LONG_PREFILL_MICROS : USUAL_PREFILL_MICROS;
        later(
                MIN_PREFILL_MICROS + random.nextInt((int) longest),
                () -> {
                    if (attempt.workerEnd == WorkerEnd.NONE) {
                        request.held(attempt, network.now());
                        answer(attempt, sender, Answers::prefillCompleted);
                    }
                });
    }

    private void decode(SentAttempt attempt, RequestTruth request, Sender sender) {
        boolean littleTime = attempt.deadline - network.now() < LITTLE_TIME_MICROS;
        if (littleTime && random.nextDouble() < DROPPED_SHARE) {
            attempt.overAtWorker(WorkerEnd.DROPPED, network.now());
            return;
        }
        later(
                random.nextInt((int) MAX_QUEUE_MICROS),
                () -> {
                    if (attempt.waitsForState) {
                        fetch(attempt, request, sender);
                    }
                });
    }

    private void fetch(SentAttempt attempt, RequestTruth request, Sender sender) {
        if (!request.isHeld()) {
            request.decodesWithoutState++;
            answer(attempt, sender, answers -> answers.failed(Outcome.FULL, 1));
            return;
        }
        request.taken(network.now());
        attempt.waitsForState = false;
        if (attempt.overAtRouter) {
            attempt.overAtWorker(WorkerEnd.UNWANTED, network.now());
        } else {
            stream(attempt, sender, 1 + random.nextInt(MAX_EVENTS));
        }
    }

    private void stream(SentAttempt attempt, Sender sender, int eventsLeft) {
        if (attempt.workerEnd != WorkerEnd.NONE) {
            return;
        }
        if (eventsLeft == 0) {
            answer(attempt, sender, Answers::streamCompleted);
            return;
        }
        sender.send(Answers::streamEvent);
        later(
                random.nextInt((int) MAX_EVENT_GAP_MICROS),
                () -> stream(attempt, sender, eventsLeft - 1));
    }

    /** Called when the worker notices that the connection of an attempt has ended. */
    void connectionEnded(SentAttempt attempt) {
        boolean goesOn = attempt.prefill ? prefillsGoOn : attempt.waitsForState && !cancelsQueued;
        if (attempt.arrived && !goesOn && attempt.workerEnd == WorkerEnd.NONE) {
            attempt.overAtWorker(WorkerEnd.UNWANTED, network.now());
        }
    }
}
