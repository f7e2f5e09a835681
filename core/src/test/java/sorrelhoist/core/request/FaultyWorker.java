package sorrelhoist.core.request;

import java.util.ArrayDeque;
import java.util.Random;
import java.util.function.Consumer;
import sorrelhoist.core.request.ActualRequestState.SentAttempt;
import sorrelhoist.core.request.ActualRequestState.WorkerEnd;
import sorrelhoist.core.request.FaultyNetwork.Connection;
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
    private static final long MAY_DROP_BELOW_MICROS = 400 * MILLI;

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
    private final boolean prefillsContinue;

    private final ArrayDeque<Runnable> pendingTasks = new ArrayDeque<>();
    private long hungUntil;

    FaultyWorker(String name, FaultyNetwork network, Random random, boolean prefillsContinue) {
        this.name = name;
        this.network = network;
        this.random = random;
        this.prefillsContinue = prefillsContinue;
        this.cancelsQueued = random.nextBoolean();
    }

    /** Makes the worker hang for {@code duration} microseconds. */
    void hang(long duration) {
        hungUntil = Math.max(hungUntil, network.now() + duration);
        network.after(duration, this::runPendingTasks);
    }

    private void runPendingTasks() {
        while (!isHung() && !pendingTasks.isEmpty()) {
            pendingTasks.pollFirst().run();
        }
    }

    boolean isHung() {
        return network.now() < hungUntil;
    }

    /** Runs a task now, or once the worker no longer hangs. */
    void runWhenNotHung(Runnable task) {
        if (isHung()) {
            pendingTasks.addLast(task);
        } else {
            task.run();
        }
    }

    private void later(long micros, Runnable task) {
        network.after(micros, () -> runWhenNotHung(task));
    }

    // Attempts

    /** Called when the worker has received the last byte of an attempt. */
    void attemptArrives(SentAttempt attempt, ActualRequestState request, Sender sender) {
        attempt.arrived(network.now());
        double draw = random.nextDouble();
        if (draw < REJECTED_SHARE) {
            answer(attempt, sender, answers -> answers.failed(Outcome.FULL, 0));
        } else if (draw < REJECTED_SHARE + ERROR_SHARE) {
            answer(attempt, sender, answers -> answers.failed(Outcome.ERROR, 0));
        } else {
            if (draw > 1 - RESET_SHARE) {
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
        attempt.endedAtWorker(WorkerEnd.ANSWERED, network.now());
        sender.send(answer);
    }

    private void prefill(SentAttempt attempt, ActualRequestState request, Sender sender) {
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

    private void decode(SentAttempt attempt, ActualRequestState request, Sender sender) {
        boolean littleTime = attempt.deadline - network.now() < MAY_DROP_BELOW_MICROS;
        if (littleTime && random.nextDouble() < DROPPED_SHARE) {
            attempt.endedAtWorker(WorkerEnd.DROPPED, network.now());
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

    private void fetch(SentAttempt attempt, ActualRequestState request, Sender sender) {
        if (!request.isHeld()) {
            request.decodesWithoutState++;
            answer(attempt, sender, answers -> answers.failed(Outcome.FULL, 1));
            return;
        }
        request.stateFetched(network.now());
        attempt.waitsForState = false;
        if (attempt.endedAtRouter) {
            attempt.endedAtWorker(WorkerEnd.UNWANTED, network.now());
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
        boolean continues =
                attempt.prefill ? prefillsContinue : attempt.waitsForState && !cancelsQueued;
        if (attempt.arrived && !continues && attempt.workerEnd == WorkerEnd.NONE) {
            attempt.endedAtWorker(WorkerEnd.UNWANTED, network.now());
        }
    }
}
