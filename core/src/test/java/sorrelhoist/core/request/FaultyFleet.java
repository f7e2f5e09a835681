package sorrelhoist.core.request;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import sorrelhoist.core.request.FaultSchedule.Fault;
import sorrelhoist.core.request.FaultyNetwork.Connection;
import sorrelhoist.core.request.RequestTruth.SentAttempt;
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
    private static final long PLAY_END = 12 * Fleet.SECOND;

    /** Interval between two checks of the prefill states. */
    private static final long JUDGE_MICROS = 5 * MILLI;

    /** Tolerance for the transit of a call and for the router's processing time. */
    private static final long SLACK_MICROS = 300 * MILLI;

    private static final int MIN_REQUESTS = 4;
    private static final int MAX_REQUESTS = 14;
    private static final double LEAVING_SHARE = 0.25;

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
        final RequestTruth request;
        final Cause cause;
        final String detail;
        long heldMicros;

        private LateState(RequestTruth request, Cause cause, String detail) {
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
    private final Map<String, RequestTruth> requests = new LinkedHashMap<>();
    private final Map<Long, RequestTruth> openByClient = new LinkedHashMap<>();
    private final Map<RequestTruth, LateState> late = new LinkedHashMap<>();

    FaultyFleet(long seed, Set<Fault> faults) {
        this.random = new Random(seed);
        this.network = new FaultyNetwork(random);
        FaultyTransport transport = new FaultyTransport(network, this, random);
        this.router = new Router(Fleet.platformSettings(false, LONGEST_BUDGET), transport::take);
        this.releasesWork = !faults.contains(Fault.RELEASES_DO_NOTHING);
        boolean prefillsGoOn = faults.contains(Fault.PREFILLS_GO_ON);
        for (Server server : Fleet.servers()) {
            String name = server.id();
            workers.put(name, new FaultyWorker(name, network, random, prefillsGoOn));
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

    RequestTruth request(String name) {
        return requests.get(name);
    }

    /** Called when a release arrives at a worker that is not hanging. */
    void releaseArrived(RequestTruth request, String worker) {
        if (releasesWork) {
            request.releaseArrives(worker, network.now());
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
    void bytesCame(Connection connection, long callWrittenAt) {
        for (RequestTruth request : requests.values()) {
            SentAttempt open = request.openAtRouter();
            if (open != null && open.worker.equals(connection.worker)) {
                open.otherBytes(network.now(), callWrittenAt);
            }
        }
    }

    /** Called when a client received its final result. */
    void answered(long clientId) {
        RequestTruth request = openByClient.remove(clientId);
        if (request != null) {
            request.note(network.now(), "client received its final result");
        }
    }

    // For faults

    List<String> workerNames() {
        return List.copyOf(workers.keySet());
    }

    /** Notes a fault in the trace of every request. */
    void noteFault(String text) {
        requests.values().forEach(request -> request.note(network.now(), "-- " + text));
    }

    // Simulation

    /** Runs the simulation to its end. {@return the states that were held for too long} */
    List<LateState> play() {
        drawRequests();
        schedule.draw();
        for (long judgeAt = JUDGE_MICROS; judgeAt <= PLAY_END; judgeAt += JUDGE_MICROS) {
            passTo(judgeAt);
            requests.values().forEach(this::judge);
        }
        return late.values().stream()
                .filter(state -> state.heldMicros > Fleet.RELEASE + SLACK_MICROS)
                .toList();
    }

    List<RequestTruth> requests() {
        return List.copyOf(requests.values());
    }

    private void passTo(long time) {
        long next = Math.min(network.nextEventAt(), router.nextTimerAt());
        while (next <= time) {
            network.advanceTo(next);
            router.advance(network.now());
            next = Math.min(network.nextEventAt(), router.nextTimerAt());
        }
        network.advanceTo(time);
    }

    private void judge(RequestTruth request) {
        long heldMicros = request.heldForNobodyMicros(network.now());
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
            requests.put(name, new RequestTruth(name));
            network.after(random.nextInt((int) ARRIVALS_END), () -> arrive(name));
        }
    }

    private void arrive(String name) {
        int requestClass = random.nextInt(Fleet.UNSAFE + 1);
        long budget = 800 * MILLI + random.nextInt((int) (LONGEST_BUDGET - 800 * MILLI));
        RequestTruth request = requests.get(name);
        request.note(network.now(), name + " arrives, class " + requestClass);
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
        if (random.nextDouble() < LEAVING_SHARE) {
            network.after(random.nextInt((int) budget), () -> leave(client));
        }
    }

    private void leave(long client) {
        RequestTruth request = openByClient.remove(client);
        if (request != null) {
            request.note(network.now(), "client disconnects");
            router.clientDisconnected(network.now(), client);
        }
    }

    // Cause of a late state

    private LateState lateState(RequestTruth request) {
        SentAttempt open = request.openAtRouter();
        SentAttempt prefill = request.heldBy();
        if (prefill.endedTooLate) {
            String how = prefill.arrivedTooLate ? "arrived" : "continued";
            String detail = how + " after the router had ended it: " + prefill.routerEnd;
            return new LateState(request, Cause.PREFILL_ENDED_LATE, detail);
        }
        if (open == null || open.prefill || !open.written) {
            return new LateState(request, Cause.OTHER, String.valueOf(open));
        }
        if (!open.arrived) {
            return new LateState(request, Cause.DECODE_NOT_ARRIVED, wayOf(open));
        }
        String detail = open.workerEnd + ", " + wayOf(open);
        return new LateState(request, Cause.DECODE_UNANSWERED, detail);
    }

    /**
     * {@return what currently prevents the bytes of an attempt from passing, and what was received
     * from its worker on other connections}
     */
    String wayOf(SentAttempt attempt) {
        if (!attempt.written) {
            return "not written";
        }
        String silence = attempt.connection.silence();
        String way = workers.get(attempt.worker).isHung() ? "worker hangs" : silence;
        return (way.isEmpty() ? "nothing blocked" : way) + ", " + attempt.evidence();
    }
}
