package sorrelhoist.core.request;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import sorrelhoist.core.request.ActualRequestState.SentAttempt;
import sorrelhoist.core.request.FaultyNetwork.Connection;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.ServerLoad;

/**
 * Executes the commands of a router over a {@link FaultyNetwork} in the way the platform's
 * transport does: idle connections are checked before an attempt is sent on them, new connections
 * have a connect timeout, and releases and reachability checks use separate connections.
 */
final class FaultyTransport {
    private static final long MILLI = 1000;
    private static final long CONNECT_TIMEOUT_MICROS = 250 * MILLI;
    private static final long CHECK_TIMEOUT_MICROS = 40 * MILLI;
    private static final long REACHABILITY_CHECK_TIMEOUT_MICROS = 1000 * MILLI;

    /** Share of new connections that are never established. */
    private static final double NEVER_ESTABLISHED_SHARE = 0.02;

    /**
     * Minimum idle time before a connection carries another call, because a second response to the
     * previous call would be mistaken for the response to the new one.
     */
    private static final long MIN_IDLE_MICROS = 50 * MILLI;

    private final FaultyNetwork network;
    private final FaultyFleet fleet;
    private final Random random;
    private final Map<String, ArrayDeque<Connection>> idleConnections = new HashMap<>();
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

    /** Executes a command. */
    void execute(Command command) {
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
            checkReachability(question.engine());
        } else if (command instanceof Command.FinishRequest answer) {
            fleet.requestFinished(answer.clientId());
        }
    }

    private void cancel(AttemptId id) {
        AttemptCall call = running.get(id);
        if (call != null) {
            call.cancel();
        }
    }

    /**
     * {@return the open connections of attempts that were written and have no outcome, sorted by
     * number}
     */
    List<Connection> attemptConnections() {
        return running.values().stream()
                .map(call -> call.connection)
                .filter(connection -> connection != null && connection.isOpen())
                .sorted(Comparator.comparingInt(connection -> connection.number))
                .toList();
    }

    // Bytes received from workers

    /**
     * Called when a worker begins to answer a call whose last byte was written at {@code
     * writtenAt}.
     */
    private void answerStarted(Connection connection, long writtenAt) {
        fleet.bytesReceived(connection, writtenAt);
        router().bytesReceived(now(), connection.worker);
        router().callAnswered(now(), connection.worker, writtenAt);
    }

    /**
     * Called when further bytes of an answer were received. They do not show that anything sent
     * recently has arrived.
     */
    private void moreBytesReceived(Connection connection) {
        fleet.bytesReceived(connection, 0);
        router().bytesReceived(now(), connection.worker);
    }

    // Connections

    private Connection takeIdleConnection(String worker) {
        ArrayDeque<Connection> candidates =
                idleConnections.computeIfAbsent(worker, name -> new ArrayDeque<>());
        candidates.removeIf(connection -> !connection.isOpen());
        Connection longest = candidates.peekFirst();
        boolean isReusable = longest != null && longest.lastUsedAt + MIN_IDLE_MICROS <= now();
        return isReusable ? candidates.pollFirst() : null;
    }

    private void addIdleConnection(Connection connection) {
        connection.assignCall(() -> {}, () -> {});
        idleConnections
                .computeIfAbsent(connection.worker, name -> new ArrayDeque<>())
                .addLast(connection);
    }

    /**
     * Uses an idle connection or opens a new one; passes null to {@code call} if none can be
     * established.
     */
    private void connect(String worker, Consumer<Connection> call) {
        Connection idle = takeIdleConnection(worker);
        if (idle == null) {
            openConnection(worker, call);
        } else {
            call.accept(idle);
        }
    }

    private void openConnection(String worker, Consumer<Connection> call) {
        Connection opened = network.open(worker);
        Once once = new Once();
        if (random.nextDouble() >= NEVER_ESTABLISHED_SHARE) {
            Runnable established = () -> once.run(() -> call.accept(opened));
            opened.sendToWorker(() -> opened.sendToRouter(established));
        }
        network.after(
                CONNECT_TIMEOUT_MICROS,
                () ->
                        once.run(
                                () -> {
                                    opened.close();
                                    call.accept(null);
                                }));
    }

    /** Like {@link #connect}, but an idle connection must first respond to a check. */
    private void connectChecked(String worker, Consumer<Connection> call) {
        Connection idle = takeIdleConnection(worker);
        if (idle == null) {
            openConnection(worker, call);
            return;
        }
        Once once = new Once();
        long writtenAt = now();
        Runnable silent =
                () -> {
                    idle.close();
                    openConnection(worker, call);
                };
        idle.assignCall(() -> once.run(silent), () -> {});
        Runnable usable =
                () -> {
                    answerStarted(idle, writtenAt);
                    once.run(() -> call.accept(idle));
                };
        idle.sendToWorker(
                () -> fleet.worker(worker).runWhenNotHung(() -> idle.sendToRouter(usable)));
        network.after(CHECK_TIMEOUT_MICROS, () -> once.run(silent));
    }

    /** Runs only the first of several alternative tasks. */
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

    /**
     * Makes a call that has no effect except for what it releases; any worker that is not hanging
     * answers it.
     */
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
                    connection.assignCall(() -> once.run(() -> ended.accept(false)), () -> {});
                    Runnable answered =
                            () -> {
                                answerStarted(connection, writtenAt);
                                addIdleConnection(connection);
                                once.run(() -> ended.accept(true));
                            };
                    Runnable taken =
                            () -> {
                                arrival.run();
                                connection.sendToRouter(answered);
                            };
                    connection.sendToWorker(() -> fleet.worker(worker).runWhenNotHung(taken));
                });
    }

    private void release(Command.ReleaseReservation command) {
        ActualRequestState request = fleet.request(command.requestName());
        request.addNote(now(), "release " + command.releaseId() + " sent to " + command.engine());
        Once once = new Once();
        releases.put(command.releaseId(), () -> once.run(() -> {}));
        call(
                command.engine(),
                () -> fleet.releaseArrived(request, command.engine()),
                once,
                done -> {
                    String how = done ? " answered" : " failed";
                    request.addNote(now(), "release " + command.releaseId() + how);
                    router().releaseCompleted(now(), command.releaseId(), done);
                });
    }

    private void checkReachability(String worker) {
        Once once = new Once();
        Consumer<Boolean> ended = any -> router().reachabilityChecked(now(), worker, true);
        // Deferred, because the router emits the command during one of its own calls.
        network.after(0, () -> call(worker, () -> {}, once, ended));
        network.after(REACHABILITY_CHECK_TIMEOUT_MICROS, () -> once.run(() -> ended.accept(false)));
    }

    // Attempts

    private final class AttemptCall implements FaultyWorker.Answers {
        private final Command.StartAttempt command;
        private final long sendBy;
        private final ActualRequestState request;
        private final SentAttempt actual;
        private Connection connection;
        private long writtenAt;
        private boolean answerStarted;

        AttemptCall(Command.StartAttempt command, long deadline, long sendBy) {
            this.command = command;
            this.sendBy = Math.min(deadline, sendBy);
            this.request = fleet.request(command.requestName());
            int number = command.attempt().number();
            boolean prefill = command instanceof Command.StartPrefill;
            this.actual = request.sent(number, command.engine(), prefill, deadline, now());
        }

        void start() {
            running.put(command.attempt(), this);
            router().attemptConnecting(now(), command.attempt());
            connectChecked(command.engine(), this::write);
        }

        private void write(Connection carrier) {
            if (actual.endedAtRouter) {
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
            actual.written(now(), carrier);
            FaultyWorker worker = fleet.worker(command.engine());
            carrier.assignCall(
                    () -> fail("connection reset", Outcome.RESET, 0),
                    () -> worker.runWhenNotHung(() -> worker.connectionEnded(actual)));
            FaultyWorker.Sender sender = new FaultyWorker.Sender(carrier, this);
            Runnable taken = () -> worker.attemptArrives(actual, request, sender);
            carrier.sendToWorker(() -> worker.runWhenNotHung(taken));
            fleet.attemptWritten(actual);
            router().attemptWritten(now(), command.attempt());
        }

        void cancel() {
            if (!actual.endedAtRouter) {
                end("cancelled");
                if (connection != null) {
                    connection.close();
                }
            }
        }

        private void end(String how) {
            actual.endedAtRouter(how + ", " + fleet.transitState(actual), now());
            running.remove(command.attempt());
        }

        private void fail(String how, Outcome outcome, long note) {
            if (!actual.endedAtRouter) {
                end(how);
                if (connection != null) {
                    connection.close();
                }
                router().attemptFailed(now(), command.attempt(), outcome, note, ServerLoad.NONE);
            }
        }

        private void bytesReceived() {
            actual.answered = true;
            if (answerStarted) {
                moreBytesReceived(connection);
            } else {
                answerStarted = true;
                answerStarted(connection, writtenAt);
            }
        }

        /** Called when the answer is complete; the connection can then carry another call. */
        private void completed(String how) {
            bytesReceived();
            end(how);
            addIdleConnection(connection);
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
            bytesReceived();
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
