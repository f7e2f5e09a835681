package sorrelhoist.core.request;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import sorrelhoist.core.request.ActualRequestState.SentAttempt;
import sorrelhoist.core.request.FaultSchedule.Fault;
import sorrelhoist.core.request.FaultyNetwork.Connection;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Server;

/**
 * Simulates one router, its workers and the network between them in virtual time, with requests and
 * faults drawn from a seed. Whether prefill states are held for too long is checked against the
 * actual state of the workers, not against the router's view of it.
 */
final class FaultyFleet {
    private static final long MILLI = 1000;
    private static final long LONGEST_BUDGET = 3 * Fleet.SECOND;
    private static final long ARRIVALS_END = 3 * Fleet.SECOND / 2;
    private static final long SIMULATION_END = 12 * Fleet.SECOND;

    /** Interval between two checks of the prefill states. */
    private static final long CHECK_INTERVAL_MICROS = 5 * MILLI;

    /** Tolerance for the transit of a call and for the router's processing time. */
    private static final long TOLERANCE_MICROS = 300 * MILLI;

    private static final int MIN_REQUESTS = 4;
    private static final int MAX_REQUESTS = 14;
    private static final double DISCONNECT_SHARE = 0.25;

    /** Why a prefill state was still held when its time limit had passed. */
    enum Cause {
        /**
         * A decode was written but has not arrived, so no attempt at a worker will fetch the state.
         */
        DECODE_NOT_ARRIVED,
        /**
         * A decode has ended at its worker, and its answer has not been received, or never will be.
         */
        DECODE_UNANSWERED,
        /** A prefill produced the state after the router had ended the attempt. */
        PREFILL_ENDED_LATE,
        OTHER
    }

    /** A prefill state that was neither fetched nor released in time. */
    static final class LateState {
        final ActualRequestState request;
        final Cause cause;
        final String detail;
        long heldMicros;

        private LateState(ActualRequestState request, Cause cause, String detail) {
            this.request = request;
            this.cause = cause;
            this.detail = detail;
        }
    }

    private final Random random;
    private final FaultyNetwork network;
    private final FaultSchedule schedule;
    private final boolean releasesWork;
    private final Router router;
    private final Map<String, FaultyWorker> workers = new LinkedHashMap<>();
    private final Map<String, ActualRequestState> requests = new LinkedHashMap<>();
    private final Map<Long, ActualRequestState> openByClient = new LinkedHashMap<>();
    private final Map<ActualRequestState, LateState> late = new LinkedHashMap<>();

    FaultyFleet(long seed, Set<Fault> faults) {
        this.random = new Random(seed);
        this.network = new FaultyNetwork(random);
        FaultyTransport transport = new FaultyTransport(network, this, random);
        this.router = new Router(Fleet.platformSettings(false, LONGEST_BUDGET), transport::execute);
        this.releasesWork = !faults.contains(Fault.RELEASES_DO_NOTHING);
        boolean prefillsContinue = faults.contains(Fault.PREFILLS_CONTINUE);
        for (Server server : Fleet.servers()) {
            String name = server.id();
            workers.put(name, new FaultyWorker(name, network, random, prefillsContinue));
        }
        this.schedule = new FaultSchedule(faults, this, network, transport, random);
        router.endpointsUpdated(0, ListUpdateKind.COMPLETE, Fleet.servers());
    }

    // For the transport

    Router router() {
        return router;
    }

    FaultyWorker worker(String name) {
        return workers.get(name);
    }

    ActualRequestState request(String name) {
        return requests.get(name);
    }

    /** Called when a release arrives at a worker that is not hanging. */
    void releaseArrived(ActualRequestState request, String worker) {
        if (releasesWork) {
            request.releaseArrived(worker, network.now());
        }
    }

    /** Called when the last byte of an attempt was written. */
    void attemptWritten(SentAttempt attempt) {
        schedule.attemptWritten(attempt);
    }

    /**
     * Called when bytes were received on a connection in response to a call that was written at
     * {@code callWrittenAt}.
     */
    void bytesReceived(Connection connection, long callWrittenAt) {
        for (ActualRequestState request : requests.values()) {
            SentAttempt open = request.runningAtRouter();
            if (open != null && open.worker.equals(connection.worker)) {
                open.otherBytesReceived(network.now(), callWrittenAt);
            }
        }
    }

    /** Called when a client received its final result. */
    void requestFinished(long clientId) {
        ActualRequestState request = openByClient.remove(clientId);
        if (request != null) {
            request.addNote(network.now(), "client received its final result");
        }
    }

    // For faults

    List<String> workerNames() {
        return List.copyOf(workers.keySet());
    }

    /** Notes a fault in the trace of every request. */
    void noteFault(String text) {
        requests.values().forEach(request -> request.addNote(network.now(), "-- " + text));
    }

    // Simulation

    /** Runs the simulation to its end. {@return the states that were held for too long} */
    List<LateState> run() {
        drawRequests();
        schedule.drawFaults();
        for (long checkAt = CHECK_INTERVAL_MICROS;
                checkAt <= SIMULATION_END;
                checkAt += CHECK_INTERVAL_MICROS) {
            advanceTo(checkAt);
            requests.values().forEach(this::checkHeldTime);
        }
        return late.values().stream()
                .filter(state -> state.heldMicros > Fleet.RELEASE + TOLERANCE_MICROS)
                .toList();
    }

    List<ActualRequestState> requests() {
        return List.copyOf(requests.values());
    }

    private void advanceTo(long time) {
        long next = Math.min(network.nextEventAt(), router.nextTimerAt());
        while (next <= time) {
            network.advanceTo(next);
            router.advance(network.now());
            next = Math.min(network.nextEventAt(), router.nextTimerAt());
        }
        network.advanceTo(time);
    }

    private void checkHeldTime(ActualRequestState request) {
        long heldMicros = request.unusedMicros(network.now());
        if (heldMicros > Fleet.RELEASE) {
            LateState state = late.computeIfAbsent(request, this::lateState);
            state.heldMicros = Math.max(state.heldMicros, heldMicros);
        }
    }

    // Requests

    private void drawRequests() {
        int number = MIN_REQUESTS + random.nextInt(MAX_REQUESTS - MIN_REQUESTS + 1);
        for (int i = 0; i < number; i++) {
            String name = "request" + i;
            requests.put(name, new ActualRequestState(name));
            network.after(random.nextInt((int) ARRIVALS_END), () -> arrive(name));
        }
    }

    private void arrive(String name) {
        int requestClass = random.nextInt(Fleet.UNSAFE + 1);
        long budget = 800 * MILLI + random.nextInt((int) (LONGEST_BUDGET - 800 * MILLI));
        ActualRequestState request = requests.get(name);
        request.addNote(network.now(), name + " arrives, class " + requestClass);
        InferenceRequest call =
                InferenceRequest.builder("x".repeat(400), 100, 10)
                        .clientRequestId(name)
                        .classIndex(requestClass)
                        .session(name)
                        .sharedPrefix("p", 50)
                        .timeoutMicros(budget)
                        .build();
        long client = router.requestArrived(network.now(), call);
        openByClient.put(client, request);
        if (random.nextDouble() < DISCONNECT_SHARE) {
            network.after(random.nextInt((int) budget), () -> disconnect(client));
        }
    }

    private void disconnect(long client) {
        ActualRequestState request = openByClient.remove(client);
        if (request != null) {
            request.addNote(network.now(), "client disconnects");
            router.clientDisconnected(network.now(), client);
        }
    }

    // Cause of a late state

    private LateState lateState(ActualRequestState request) {
        SentAttempt open = request.runningAtRouter();
        SentAttempt prefill = request.producedBy();
        if (prefill.endedTooLate) {
            String how = prefill.arrivedTooLate ? "arrived" : "continued";
            String detail = how + " after the router had ended it: " + prefill.routerEnd;
            return new LateState(request, Cause.PREFILL_ENDED_LATE, detail);
        }
        if (open == null || open.prefill || !open.written) {
            return new LateState(request, Cause.OTHER, String.valueOf(open));
        }
        if (!open.arrived) {
            return new LateState(request, Cause.DECODE_NOT_ARRIVED, transitState(open));
        }
        String detail = open.workerEnd + ", " + transitState(open);
        return new LateState(request, Cause.DECODE_UNANSWERED, detail);
    }

    /**
     * {@return what currently prevents the bytes of an attempt from passing, and what was received
     * from its worker on other connections}
     */
    String transitState(SentAttempt attempt) {
        if (!attempt.written) {
            return "not written";
        }
        String silence = attempt.connection.silence();
        String state = workers.get(attempt.worker).isHung() ? "worker hangs" : silence;
        return (state.isEmpty() ? "nothing blocked" : state) + ", " + attempt.evidence();
    }
}
