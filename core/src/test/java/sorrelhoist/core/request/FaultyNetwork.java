package sorrelhoist.core.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import sorrelhoist.core.time.TimerQueue;

/**
 * Virtual time, and the connections between a router and its workers. Each connection has a delay
 * of its own; it, or the whole link of a worker, can fall silent: what is on its way then waits for
 * the end of the silence, or is lost where the connection is reset at that end.
 */
final class FaultyNetwork {
    /** In place of a time: not before the end of the play. */
    static final long NEVER = Long.MAX_VALUE;

    private static final long MIN_ONE_WAY_MICROS = 1000;
    private static final long MAX_ONE_WAY_MICROS = 10_000;

    private final Random random;
    private final TimerQueue<Runnable> events = new TimerQueue<>();
    private final Map<String, Long> linkSilentUntil = new HashMap<>();
    private final List<Connection> connections = new ArrayList<>();
    private long now;

    FaultyNetwork(Random random) {
        this.random = random;
    }

    // Time

    long now() {
        return now;
    }

    long nextEventAt() {
        return events.nextDueMicros();
    }

    void after(long delayMicros, Runnable event) {
        events.schedule(now + delayMicros, event);
    }

    /** Lets time pass, and what is due by then happen. */
    void advanceTo(long time) {
        now = Math.max(now, time);
        for (Runnable due = events.pollDue(now); due != null; due = events.pollDue(now)) {
            due.run();
        }
    }

    private void at(long time, Runnable event) {
        if (time != NEVER) {
            events.schedule(time, event);
        }
    }

    // Links and connections

    /** Makes a connection that carries bytes at once; whether it has come up is the caller's. */
    Connection open(String worker) {
        Connection connection = new Connection(worker, connections.size());
        connections.add(connection);
        return connection;
    }

    /** {@return connections that neither end has closed} */
    List<Connection> openConnections() {
        return connections.stream().filter(Connection::isOpen).toList();
    }

    /** Nothing passes between the router and a worker's machine until a time. */
    void silenceLink(String worker, long until, boolean resetAtEnd) {
        linkSilentUntil.merge(worker, until, Math::max);
        if (resetAtEnd) {
            at(until, () -> resetConnections(worker));
        }
    }

    private void resetConnections(String worker) {
        openConnections().stream()
                .filter(connection -> connection.worker.equals(worker))
                .forEach(Connection::reset);
    }

    /** One connection from the router to a worker's machine. */
    final class Connection {
        final String worker;
        final int number;

        /** When the call that it carries last was written; for the time that it then rests. */
        long lastUsedAt;

        private final long oneWayMicros =
                MIN_ONE_WAY_MICROS
                        + random.nextInt((int) (MAX_ONE_WAY_MICROS - MIN_ONE_WAY_MICROS) + 1);
        private final Pipe toWorker = new Pipe();
        private final Pipe toRouter = new Pipe();
        private long silentUntil;
        private boolean closedByRouter;
        private boolean reset;
        private Runnable whenResetAtRouter = () -> {};
        private Runnable whenEndedAtWorker = () -> {};

        private Connection(String worker, int number) {
            this.worker = worker;
            this.number = number;
        }

        boolean isOpen() {
            return !closedByRouter && !reset;
        }

        private long silentUntil() {
            return Math.max(silentUntil, linkSilentUntil.getOrDefault(worker, 0L));
        }

        /** {@return what keeps bytes from passing now; empty for nothing} */
        String silence() {
            if (reset) {
                return "connection reset";
            }
            if (linkSilentUntil.getOrDefault(worker, 0L) > now) {
                return "link silent";
            }
            return silentUntil > now ? "connection silent" : "";
        }

        /** A call takes the connection: who has to know of its end. */
        void carry(Runnable whenResetAtRouter, Runnable whenEndedAtWorker) {
            this.whenResetAtRouter = whenResetAtRouter;
            this.whenEndedAtWorker = whenEndedAtWorker;
            lastUsedAt = now;
        }

        /** Sends to the worker's machine, which may take it only later. */
        void sendToWorker(Runnable arrival) {
            if (isOpen()) {
                toWorker.send(arrival);
            }
        }

        /** Sends to the router, unless it has closed the connection. */
        void sendToRouter(Runnable arrival) {
            if (!reset) {
                toRouter.send(
                        () -> {
                            if (!closedByRouter) {
                                arrival.run();
                            }
                        });
            }
        }

        /** The router closes it: that arrives after all that was written before. */
        void close() {
            if (isOpen()) {
                toWorker.send(whenEndedAtWorker);
                closedByRouter = true;
            }
        }

        /** Nothing passes on this connection alone until a time. */
        void silence(long until, boolean resetAtEnd) {
            silentUntil = Math.max(silentUntil, until);
            if (resetAtEnd) {
                at(until, this::reset);
            }
        }

        /** It breaks: both ends learn of it, and what was on its way is lost. */
        void reset() {
            if (!reset) {
                reset = true;
                toWorker.messages.clear();
                toRouter.messages.clear();
                after(oneWayMicros, whenEndedAtWorker);
                after(
                        oneWayMicros,
                        () -> {
                            if (!closedByRouter) {
                                whenResetAtRouter.run();
                            }
                        });
            }
        }

        private record Message(long dueAt, Runnable arrival) {}

        /** One direction; what was sent first arrives first. */
        private final class Pipe {
            private final ArrayDeque<Message> messages = new ArrayDeque<>();

            private void send(Runnable arrival) {
                messages.addLast(new Message(now + oneWayMicros, arrival));
                after(oneWayMicros, this::deliver);
            }

            private void deliver() {
                if (!messages.isEmpty() && silentUntil() > now) {
                    at(silentUntil(), this::deliver);
                    return;
                }
                while (!messages.isEmpty() && messages.peekFirst().dueAt() <= now) {
                    messages.pollFirst().arrival().run();
                }
            }
        }
    }
}
