package sorrelhoist.core.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import sorrelhoist.core.time.TimerQueue;

/**
 * Virtual time and the simulated connections between a router and its workers. Each connection has
 * its own delay. A single connection or the whole link of a worker can stop passing data. Messages
 * in transit are then delivered when the silence ends, or are lost if the connection is reset at
 * that moment.
 */
final class FaultyNetwork {
    /** Placeholder for a time that is not reached before the end of the simulation. */
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

    /** Advances time and runs the events that are due. */
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

    /**
     * Creates a connection that carries bytes immediately; the caller keeps track of whether it is
     * established.
     */
    Connection open(String worker) {
        Connection connection = new Connection(worker, connections.size());
        connections.add(connection);
        return connection;
    }

    /** {@return the connections that are neither closed by the router nor reset} */
    List<Connection> openConnections() {
        return connections.stream().filter(Connection::isOpen).toList();
    }

    /** Passes no data between the router and the machine of a worker until {@code until}. */
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

    /** A connection from the router to the machine of a worker. */
    final class Connection {
        final String worker;
        final int number;

        /**
         * When the connection was last assigned to a call or became idle. It has to stay idle for
         * some time before it is reused.
         */
        long lastUsedAt;

        private final long oneWayMicros =
                MIN_ONE_WAY_MICROS
                        + random.nextInt((int) (MAX_ONE_WAY_MICROS - MIN_ONE_WAY_MICROS) + 1);
        private final Pipe toWorker = new Pipe();
        private final Pipe toRouter = new Pipe();
        private long silentUntil;
        private boolean closedByRouter;
        private boolean reset;
        private Runnable onResetAtRouter = () -> {};
        private Runnable onEndedAtWorker = () -> {};

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

        /** {@return what currently prevents bytes from passing; empty if nothing does} */
        String silence() {
            if (reset) {
                return "connection reset";
            }
            if (linkSilentUntil.getOrDefault(worker, 0L) > now) {
                return "link silent";
            }
            return silentUntil > now ? "connection silent" : "";
        }

        /**
         * Assigns the connection to a call and sets the callbacks for the end of the connection.
         */
        void assignCall(Runnable onResetAtRouter, Runnable onEndedAtWorker) {
            this.onResetAtRouter = onResetAtRouter;
            this.onEndedAtWorker = onEndedAtWorker;
            lastUsedAt = now;
        }

        /** Sends a message to the machine of the worker; the worker may process it later. */
        void sendToWorker(Runnable arrival) {
            if (isOpen()) {
                toWorker.send(arrival);
            }
        }

        /** Sends a message to the router, which drops it if it has closed the connection. */
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

        /**
         * Closes the connection on the router's side. The close arrives after everything written
         * before.
         */
        void close() {
            if (isOpen()) {
                toWorker.send(onEndedAtWorker);
                closedByRouter = true;
            }
        }

        /** Passes no data on this connection alone until {@code until}. */
        void silence(long until, boolean resetAtEnd) {
            silentUntil = Math.max(silentUntil, until);
            if (resetAtEnd) {
                at(until, this::reset);
            }
        }

        /** Resets the connection. Both ends are notified, and messages in transit are lost. */
        void reset() {
            if (!reset) {
                reset = true;
                toWorker.messages.clear();
                toRouter.messages.clear();
                after(oneWayMicros, onEndedAtWorker);
                after(
                        oneWayMicros,
                        () -> {
                            if (!closedByRouter) {
                                onResetAtRouter.run();
                            }
                        });
            }
        }

        private record Message(long dueAt, Runnable arrival) {}

        /**
         * One direction of a connection; delivers messages in the order in which they were sent.
         */
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
