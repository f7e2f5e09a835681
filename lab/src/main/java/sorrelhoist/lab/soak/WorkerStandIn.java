package sorrelhoist.lab.soak;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import sorrelhoist.lab.soak.RequestTrace.StateTrace;
import sorrelhoist.lab.soak.WorkerEntry.Role;
import sorrelhoist.lab.soak.WorkerSlots.Capacity;
import sorrelhoist.protocol.net.LoopbackTransport;

/**
 * A worker of the platform: prefills prompts or streams answers, and records what reaches it. It
 * can hang, die, come back and misbehave on a part of its answers. Confined to its event loop,
 * except for {@link #start}.
 */
final class WorkerStandIn {
    /** A decode waits up to so long for a slot and memory, unless a test wants another time. */
    private static final int MAX_QUEUE_MILLIS = 150;

    /** Of a stream, unless a test wants shorter ones. */
    private static final int MAX_EVENTS = 25;

    /** More than the soak's traffic takes while nothing is wrong. */
    private static final Capacity ORDINARY_CAPACITY = new Capacity(32, 64);

    /** Less than the soak's traffic takes. */
    private static final Capacity FULL_CAPACITY = new Capacity(3, 6);

    final String uid;
    final Role role;
    private final EventLoop loop;
    private final TrafficLog log;
    private final Random random;
    private final long idleTimeoutMillis;
    private final Set<WorkerConnection> connections = new HashSet<>();

    /** By the port from which a link connects: how long it delays what a router sends. */
    private final Map<Integer, Long> linkDelays = new HashMap<>();

    private volatile Channel listener;
    private int port;
    private HangMode hang;
    private boolean cancelsQueuedAttempts = true;
    private int maxQueueMillis = MAX_QUEUE_MILLIS;
    private int maxEvents = MAX_EVENTS;
    private long minMillisLeft;
    private boolean draining;
    private Misbehaviour misbehaviour = Misbehaviour.NONE;
    private double misbehavingShare;
    private Capacity capacity = ORDINARY_CAPACITY;
    private WorkerSlots slots = new WorkerSlots(ORDINARY_CAPACITY);

    /**
     * Creates a worker that is not started yet.
     *
     * @param uid its id
     * @param role what it does
     * @param loop its event loop
     * @param log takes what it sees
     * @param seed of its random choices
     * @param idleTimeoutMillis after which it closes an idle connection
     */
    WorkerStandIn(
            String uid,
            Role role,
            EventLoop loop,
            TrafficLog log,
            long seed,
            long idleTimeoutMillis) {
        this.uid = uid;
        this.role = role;
        this.loop = loop;
        this.log = log;
        this.random = new Random(seed);
        this.idleTimeoutMillis = idleTimeoutMillis;
    }

    /**
     * Starts to listen, at its former port after the first time. Blocks, so it is not to be called
     * on the event loop.
     */
    void start() throws IOException {
        listener = StandInListener.listen(loop, port, () -> new WorkerConnection(this));
        port = LoopbackTransport.localPort(listener);
    }

    int port() {
        return port;
    }

    boolean isAlive() {
        return listener != null;
    }

    /** Dies: its connections are reset, and what it held is gone. */
    void kill() {
        if (listener == null) {
            return;
        }
        listener.close();
        listener = null;
        hang = null;
        slots.clearQueue();
        List.copyOf(connections).forEach(WorkerConnection::reset);
        slots = new WorkerSlots(capacity);
        long now = System.nanoTime();
        for (RequestTrace request : log.requests()) {
            request.attempts.stream()
                    .filter(attempt -> attempt.worker.equals(uid) && attempt.isWaitingForState())
                    .forEach(attempt -> attempt.waitEndedAt = now);
            for (StateTrace state : request.states) {
                if (state.worker.equals(uid) && state.isHeld()) {
                    state.releasedAt = now;
                }
            }
        }
    }

    /** Answers nothing from now on; connections stay open. */
    void hang(HangMode mode) {
        hang = mode;
    }

    /** Goes on after a hang. */
    void resume() {
        hang = null;
        List.copyOf(connections).forEach(WorkerConnection::resume);
    }

    boolean isHanging() {
        return hang != null;
    }

    /** {@return whether it does not even take what comes in} */
    boolean isStopped() {
        return hang == HangMode.STOPPED;
    }

    /** Sets whether it takes attempts whose connections end out of its queue. */
    void setCancelsQueuedAttempts(boolean cancels) {
        cancelsQueuedAttempts = cancels;
    }

    /** Sets the time that an attempt has to have left: with less it is dropped without a word. */
    void setMinMillisLeft(long millis) {
        minMillisLeft = millis;
    }

    long minMillisLeft() {
        return minMillisLeft;
    }

    /** Sets how many events a stream has at most. */
    void setMaxEvents(int events) {
        maxEvents = events;
    }

    int maxEvents() {
        return maxEvents;
    }

    /** Sets how long a decode waits at most before its state is fetched. */
    void setMaxQueueMillis(int millis) {
        maxQueueMillis = millis;
    }

    /** {@return how long the next decode waits for a slot and memory} */
    int drawQueueMillis() {
        return random.nextInt(maxQueueMillis + 1);
    }

    boolean cancelsQueuedAttempts() {
        return cancelsQueuedAttempts;
    }

    /** Rejects new requests from now on, or accepts them again. */
    void setDraining(boolean on) {
        draining = on;
    }

    boolean isDraining() {
        return draining;
    }

    /** Does something wrong to a part of its answers from now on. */
    void setMisbehaviour(Misbehaviour kind, double share) {
        misbehaviour = kind;
        misbehavingShare = share;
        setCapacity(kind == Misbehaviour.FULL ? FULL_CAPACITY : ORDINARY_CAPACITY);
    }

    /** Changes how much it takes from now on. */
    void setCapacity(Capacity next) {
        capacity = next;
        slots.setCapacity(next);
    }

    WorkerSlots slots() {
        return slots;
    }

    /** {@return what goes wrong with the next answer} */
    Misbehaviour drawMisbehaviour() {
        return random.nextDouble() < misbehavingShare ? misbehaviour : Misbehaviour.NONE;
    }

    Random random() {
        return random;
    }

    TrafficLog log() {
        return log;
    }

    long idleTimeoutMillis() {
        return idleTimeoutMillis;
    }

    void opened(WorkerConnection connection) {
        connections.add(connection);
    }

    void closed(WorkerConnection connection) {
        connections.remove(connection);
        linkDelays.remove(connection.remotePort());
    }

    /**
     * A link has connected.
     *
     * @param port from which it did
     * @param delayNanos how long it delays what a router sends
     */
    void linked(int port, long delayNanos) {
        linkDelays.put(port, delayNanos);
    }

    /** {@return how long a link delays what a router sends, nanoseconds; 0 where there is none} */
    long linkDelayNanos(int port) {
        return linkDelays.getOrDefault(port, 0L);
    }

    /** Releases what is held for a request and no decode waits for. */
    void release(String requestId) {
        RequestTrace request = log.find(requestId);
        if (request != null) {
            request.releaseUnlessAwaited(System.nanoTime());
        }
    }
}
