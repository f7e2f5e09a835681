package sorrelhoist.core.request;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import sorrelhoist.core.request.FaultyNetwork.Connection;
import sorrelhoist.core.request.RequestTruth.SentAttempt;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.ServerLoad;

/**
 * Carries out a router's commands over a {@link FaultyNetwork}, as the platform's transport does:
 * connections that have rested are checked before an attempt goes out on them, new ones have to
 * come up in time, releases and questions have connections of their own.
 */
final class FaultyTransport {
    private static final long MILLI = 1000;
    private static final long CONNECT_TIMEOUT_MICROS = 250 * MILLI;
    private static final long CHECK_TIMEOUT_MICROS = 40 * MILLI;
    private static final long QUESTION_TIMEOUT_MICROS = 1000 * MILLI;

    /** Of new connections, those that never come up. */
    private static final double NEVER_UP_SHARE = 0.02;

    /** Before a connection carries another call: a second response would be taken for its own. */
    private static final long REST_MICROS = 50 * MILLI;

    private final FaultyNetwork network;
    private final FaultyFleet fleet;
    private final Random random;
    private final Map<String, ArrayDeque<Connection>> rested = new HashMap<>();
    private final Map<AttemptId, AttemptCall> running = new HashMap<>();
    private final Map<Long, Runnable> releases = new HashMap<>();

    FaultyTransport(FaultyNetwork network, FaultyFleet fleet, Random random) {
        this.network = network;
        this.fleet = fleet;
        this.random = random;
    }

    private Router router() {
        return fleet.router();
    }

    private long now() {
        return network.now();
    }

    /** Carries out a command. */
    void take(Command command) {
        if (command instanceof Command.StartPrefill start) {
            long deadline = start.deadlineMicros();
            new AttemptCall(start, deadline, deadline).start();
        } else if (command instanceof Command.StartDecode start) {
            new AttemptCall(start, start.deadlineMicros(), start.sendByMicros()).start();
        } else if (command instanceof Command.CancelAttempt cancellation) {
            cancel(cancellation.attempt());
        } else if (command instanceof Command.ReleaseReservation release) {
            release(release);
        } else if (command instanceof Command.AbandonRelease abandoned) {
            releases.getOrDefault(abandoned.releaseId(), () -> {}).run();
        } else if (command instanceof Command.CheckReachability question) {
            ask(question.engine());
        } else if (command instanceof Command.FinishRequest answer) {
            fleet.answered(answer.clientId());
        }
    }

    private void cancel(AttemptId id) {
        AttemptCall call = running.get(id);
        if (call != null) {
            call.cancel();
        }
    }

    /** {@return the connections of attempts that were written and have no outcome} */
    List<Connection> attemptConnections() {
        return running.values().stream()
                .map(call -> call.connection)
                .filter(connection -> connection != null && connection.isOpen())
                .sorted(Comparator.comparingInt(connection -> connection.number))
                .toList();
    }

    // What bytes of a worker say to the router

    /** A worker began to answer a call whose last byte was written at a time. */
    private void answerBegan(Connection connection, long writtenAt) {
        fleet.bytesCame(connection, writtenAt);
        router().bytesReceived(now(), connection.worker);
        router().callAnswered(now(), connection.worker, writtenAt);
    }

    /** More bytes of an answer came: nothing that was sent now has caused them. */
    private void moreBytesCame(Connection connection) {
        fleet.bytesCame(connection, 0);
        router().bytesReceived(now(), connection.worker);
    }

    // Connections

    private Connection takeRested(String worker) {
        ArrayDeque<Connection> candidates =
                rested.computeIfAbsent(worker, name -> new ArrayDeque<>());
        candidates.removeIf(connection -> !connection.isOpen());
        Connection longest = candidates.peekFirst();
        boolean hasRested = longest != null && longest.lastUsedAt + REST_MICROS <= now();
        return hasRested ? candidates.pollFirst() : null;
    }

    private void rest(Connection connection) {
        connection.carry(() -> {}, () -> {});
        rested.computeIfAbsent(connection.worker, name -> new ArrayDeque<>()).addLast(connection);
    }

    /** Takes one that has rested, or connects; {@code call} gets null where none comes up. */
    private void connect(String worker, Consumer<Connection> call) {
        Connection resting = takeRested(worker);
        if (resting == null) {
            connectAnew(worker, call);
        } else {
            call.accept(resting);
        }
    }

    private void connectAnew(String worker, Consumer<Connection> call) {
        Connection made = network.open(worker);
        Once once = new Once();
        if (random.nextDouble() >= NEVER_UP_SHARE) {
            Runnable up = () -> once.run(() -> call.accept(made));
            made.sendToWorker(() -> made.sendToRouter(up));
        }
        network.after(
                CONNECT_TIMEOUT_MICROS,
                () ->
                        once.run(
                                () -> {
                                    made.close();
                                    call.accept(null);
                                }));
    }

    /** The same, but one that has rested has to show first that it is not silent. */
    private void connectChecked(String worker, Consumer<Connection> call) {
        Connection resting = takeRested(worker);
        if (resting == null) {
            connectAnew(worker, call);
            return;
        }
        Once once = new Once();
        long writtenAt = now();
        Runnable silent =
                () -> {
                    resting.close();
                    connectAnew(worker, call);
                };
        resting.carry(() -> once.run(silent), () -> {});
        Runnable usable =
                () -> {
                    answerBegan(resting, writtenAt);
                    once.run(() -> call.accept(resting));
                };
        resting.sendToWorker(
                () -> fleet.worker(worker).whenItRuns(() -> resting.sendToRouter(usable)));
        network.after(CHECK_TIMEOUT_MICROS, () -> once.run(silent));
    }

    /** What happens first of several things. */
    private static final class Once {
        private boolean done;

        void run(Runnable task) {
            if (!done) {
                done = true;
                task.run();
            }
        }
    }

    // Calls

    /** A call that changes nothing but what it lets go of; any worker that runs answers it. */
    private void call(String worker, Runnable arrival, Once once, Consumer<Boolean> ended) {
        connect(
                worker,
                connection -> {
                    if (connection == null) {
                        once.run(() -> ended.accept(false));
                        return;
                    }
                    if (once.done) {
                        connection.close();
                        return;
                    }
                    long writtenAt = now();
                    connection.carry(() -> once.run(() -> ended.accept(false)), () -> {});
                    Runnable answered =
                            () -> {
                                answerBegan(connection, writtenAt);
                                rest(connection);
                                once.run(() -> ended.accept(true));
                            };
                    Runnable taken =
                            () -> {
                                arrival.run();
                                connection.sendToRouter(answered);
                            };
                    connection.sendToWorker(() -> fleet.worker(worker).whenItRuns(taken));
                });
    }

    private void release(Command.ReleaseReservation command) {
        RequestTruth request = fleet.request(command.requestName());
        request.note(now(), "release " + command.releaseId() + " sent to " + command.engine());
        Once once = new Once();
        releases.put(command.releaseId(), () -> once.run(() -> {}));
        call(
                command.engine(),
                () -> fleet.releaseArrived(request, command.engine()),
                once,
                done -> {
                    String how = done ? " answered" : " failed";
                    request.note(now(), "release " + command.releaseId() + how);
                    router().releaseCompleted(now(), command.releaseId(), done);
                });
    }

    private void ask(String worker) {
        Once once = new Once();
        Consumer<Boolean> ended = any -> router().reachabilityChecked(now(), worker, true);
        // In a later turn: the router asks while it runs.
        network.after(0, () -> call(worker, () -> {}, once, ended));
        network.after(QUESTION_TIMEOUT_MICROS, () -> once.run(() -> ended.accept(false)));
    }

    // Attempts

    private final class AttemptCall implements FaultyWorker.Answers {
        private final Command.StartAttempt command;
        private final long sendBy;
        private final RequestTruth request;
        private final SentAttempt truth;
        private Connection connection;
        private long writtenAt;
        private boolean answerBegan;

        AttemptCall(Command.StartAttempt command, long deadline, long sendBy) {
            this.command = command;
            this.sendBy = Math.min(deadline, sendBy);
            this.request = fleet.request(command.requestName());
            int number = command.attempt().number();
            boolean prefill = command instanceof Command.StartPrefill;
            this.truth = request.sent(number, command.engine(), prefill, deadline, now());
        }

        void start() {
            running.put(command.attempt(), this);
            router().attemptConnecting(now(), command.attempt());
            connectChecked(command.engine(), this::write);
        }

        private void write(Connection carrier) {
            if (truth.overAtRouter) {
                if (carrier != null) {
                    carrier.close();
                }
                return;
            }
            connection = carrier;
            boolean maySend =
                    carrier != null && now() < sendBy && router().maySend(now(), command.attempt());
            if (!maySend) {
                fail("could not connect", Outcome.CONNECT_FAILED, 0);
                return;
            }
            writtenAt = now();
            truth.written(now(), carrier);
            FaultyWorker worker = fleet.worker(command.engine());
            carrier.carry(
                    () -> fail("connection reset", Outcome.RESET, 0),
                    () -> worker.whenItRuns(() -> worker.connectionEnded(truth)));
            FaultyWorker.Sender sender = new FaultyWorker.Sender(carrier, this);
            Runnable taken = () -> worker.attemptArrives(truth, request, sender);
            carrier.sendToWorker(() -> worker.whenItRuns(taken));
            fleet.attemptWritten(truth);
            router().attemptWritten(now(), command.attempt());
        }

        void cancel() {
            if (!truth.overAtRouter) {
                over("cancelled");
                if (connection != null) {
                    connection.close();
                }
            }
        }

        private void over(String how) {
            truth.overAtRouter(how + ", " + fleet.wayOf(truth), now());
            running.remove(command.attempt());
        }

        private void fail(String how, Outcome outcome, long note) {
            if (!truth.overAtRouter) {
                over(how);
                if (connection != null) {
                    connection.close();
                }
                router().attemptFailed(now(), command.attempt(), outcome, note, ServerLoad.NONE);
            }
        }

        private void bytesCame() {
            truth.answered = true;
            if (answerBegan) {
                moreBytesCame(connection);
            } else {
                answerBegan = true;
                answerBegan(connection, writtenAt);
            }
        }

        /** Its answer is complete, and the connection can carry another call. */
        private void completed(String how) {
            bytesCame();
            over(how);
            rest(connection);
        }

        @Override
        public void prefillCompleted() {
            completed("prefilled");
            router().prefillCompleted(now(), command.attempt(), "", 0, ServerLoad.NONE);
        }

        @Override
        public void failed(Outcome outcome, long note) {
            completed(outcome + (note == 0 ? "" : ", no state to fetch"));
            router().attemptFailed(now(), command.attempt(), outcome, note, ServerLoad.NONE);
        }

        @Override
        public void streamEvent() {
            bytesCame();
            router().opaqueEventReceived(now(), command.attempt(), new Object());
        }

        @Override
        public void streamCompleted() {
            completed("served");
            request.served = true;
            router().opaqueStreamCompleted(now(), command.attempt(), 0, ServerLoad.NONE);
        }
    }
}
