package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sorrelhoist.routing.Fixtures.RESERVATION_LIMIT_MICROS;
import static sorrelhoist.routing.Fixtures.SECOND;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingActions.Cancel;
import sorrelhoist.routing.RoutingActions.Fail;
import sorrelhoist.routing.RoutingActions.Probe;
import sorrelhoist.routing.RoutingActions.Refuse;
import sorrelhoist.routing.RoutingActions.Release;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingActions.Timer;
import sorrelhoist.routing.RoutingEvents.Arrived;
import sorrelhoist.routing.RoutingEvents.AttemptEnded;
import sorrelhoist.routing.RoutingEvents.ClientGone;
import sorrelhoist.routing.RoutingEvents.Event;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Members;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerLoad;
import sorrelhoist.routing.RoutingEvents.ServerState;
import sorrelhoist.routing.RoutingEvents.StreamStarted;
import sorrelhoist.routing.RoutingEvents.TimerFired;
import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.IdempotencyScope;
import sorrelhoist.routing.RoutingSettings.RequestClass;
import sorrelhoist.routing.RoutingSettings.Role;

/**
 * A simulation that generates random legal events and checks every action against the five rules:
 * one final answer by the deadline; no second effect and no two attempts in flight; no sends to a
 * server that is draining or gone; no overload of a cold server; no state reserved for longer than
 * the limit. All times are in microseconds.
 */
final class RandomHistory {
    private static final long STEP_MICROS = 4_000;
    private static final long SLACK_MICROS = 16_000;
    private static final long DURATION_MICROS = 60 * SECOND;

    /** The simulation's view of one request. */
    private static final class OpenRequest {
        final Arrived arrived;
        final long deadline;
        final Map<Integer, Send> inFlight = new TreeMap<>();
        final Map<Integer, Long> endsAt = new TreeMap<>();
        int sends;
        boolean answered;
        boolean streaming;
        boolean stateReserved;
        long idleSince;
        Server mayHaveRun;
        long mayHaveRunSentAt;

        OpenRequest(Arrived a, long now) {
            arrived = a;
            deadline = now + a.budgetMicros();
        }
    }

    final RoutingSettings settings;
    final Random random;
    final RoutingPolicy policy;
    final Map<String, Server> servers = new TreeMap<>();
    final Map<Long, OpenRequest> requests = new TreeMap<>();
    final TreeMap<Long, List<Long>> timers = new TreeMap<>();
    final Map<String, ArrayDeque<Long>> recentSends = new TreeMap<>();
    final Map<Integer, Integer> mostSent = new TreeMap<>();
    final StringBuilder log = new StringBuilder();
    long now = 100 * SECOND;
    long nextId = 1;
    int served;
    int refused;
    int failed;

    RandomHistory(RoutingSettings settings, int seed) {
        this.settings = settings;
        this.random = new Random(seed);
        this.policy = new RoutingPolicy(settings, seed);
        for (int i = 0; i < 12; i++) {
            int kind = i < 5 ? 0 : i < 10 ? 1 : 2;
            putServer(new Server("s" + i, i % 2, kind, i % 4, ServerState.SERVING, 1, 0));
        }
        deliver(new Members(ListUpdateKind.RESTORED, List.copyOf(servers.values())));
    }

    void putServer(Server s) {
        servers.put(s.id(), s);
    }

    void run() {
        for (long end = now + DURATION_MICROS;
                now < end || !requests.isEmpty();
                now += STEP_MICROS) {
            fireTimers();
            endAttempts();
            if (now < end) {
                arrivals();
                changeList();
            }
            checkOpenRequests();
            assertTrue(
                    now < end + 60 * SECOND,
                    "requests are still open a minute after the last arrival");
        }
    }

    void arrivals() {
        if (random.nextInt(12) > 0) {
            return;
        }
        String session = random.nextInt(10) == 0 ? null : "a" + random.nextInt(40);
        String prefix = random.nextInt(4) == 0 ? null : "p" + random.nextInt(6);
        long prompt = 50L + random.nextInt(6000);
        Arrived a =
                new Arrived(
                        nextId++,
                        random.nextInt(2),
                        random.nextInt(2),
                        session,
                        prefix,
                        prompt,
                        prefix == null ? 0 : prompt / 2,
                        200,
                        random.nextInt(20) == 0 ? 0 : SECOND / 2 + random.nextInt(3_000_000));
        requests.put(a.id(), new OpenRequest(a, now));
        deliver(a);
    }

    void changeList() {
        if (random.nextInt(400) > 0) {
            return;
        }
        Server s = servers.get("s" + random.nextInt(12));
        ServerState state = ServerState.values()[random.nextInt(3)];
        boolean restart = s.state() != ServerState.SERVING && state == ServerState.SERVING;
        putServer(
                new Server(
                        s.id(),
                        s.zone(),
                        s.kind(),
                        s.cell(),
                        state,
                        s.size(),
                        restart ? now : s.since()));
        if (random.nextInt(4) == 0) {
            deliver(new Members(ListUpdateKind.UNAVAILABLE, List.of()));
        }
        boolean whole = random.nextBoolean();
        deliver(
                new Members(
                        whole ? ListUpdateKind.COMPLETE : ListUpdateKind.UPDATE,
                        whole ? List.copyOf(servers.values()) : List.of(servers.get(s.id()))));
    }

    void fireTimers() {
        while (!timers.isEmpty() && timers.firstKey() <= now) {
            timers.pollFirstEntry().getValue().forEach(token -> deliver(new TimerFired(token)));
        }
    }

    void endAttempts() {
        for (OpenRequest r : List.copyOf(requests.values())) {
            for (int n : List.copyOf(r.endsAt.keySet())) {
                if (r.endsAt.get(n) <= now) {
                    end(r, n);
                }
            }
            if (!r.answered && !r.streaming && random.nextInt(3000) == 0) {
                r.answered = true;
                deliver(new ClientGone(r.arrived.id()));
            }
        }
    }

    void end(OpenRequest r, int n) {
        Send s = r.inFlight.get(n);
        Role role = settings.serverKinds().get(servers.get(s.server()).kind()).role();
        Outcome outcome = draw(role);
        boolean late = s.cutAt() <= now || r.deadline <= now;
        if (!r.streaming && late) {
            outcome = Outcome.TIMED_OUT;
        } else if (role != Role.READ && !r.streaming && !r.answered && outcome == Outcome.DONE) {
            r.streaming = true;
            r.stateReserved = false;
            r.endsAt.put(n, now + random.nextInt(2_000_000));
            deliver(new StreamStarted(r.arrived.id(), n, s.server(), 1000));
            return;
        }
        r.inFlight.remove(n);
        r.endsAt.remove(n);
        r.idleSince = now;
        r.stateReserved |= outcome == Outcome.READ;
        long note = outcome == Outcome.FULL && role != Role.READ && random.nextBoolean() ? 1 : 0;
        r.stateReserved &= note == 0;
        if (role != Role.READ
                && outcome != Outcome.FULL
                && outcome != Outcome.CONNECT_FAILED
                && r.mayHaveRun == null) {
            r.mayHaveRun = servers.get(s.server());
        }
        if (!r.answered && (outcome == Outcome.DONE || r.streaming)) {
            r.answered = true;
            served++;
        }
        deliverEnd(r, n, outcome, note, s.server());
    }

    private void deliverEnd(OpenRequest r, int n, Outcome outcome, long note, String server) {
        long took = 1000L + random.nextInt(300_000);
        ServerLoad load = ServerLoad.NONE;
        if (!random.nextBoolean()) {
            load = new ServerLoad(random.nextDouble(), random.nextInt(9000), 1, Double.NaN);
        }
        long id = r.arrived.id();
        deliver(new AttemptEnded(id, n, server, outcome, took, r.answered, note, load));
    }

    Outcome draw(Role role) {
        if (random.nextInt(5) > 0) {
            return role == Role.READ ? Outcome.READ : Outcome.DONE;
        }
        return List.of(
                        Outcome.ERROR,
                        Outcome.FULL,
                        Outcome.CONNECT_FAILED,
                        Outcome.RESET,
                        Outcome.TIMED_OUT)
                .get(random.nextInt(5));
    }

    void deliver(Event event) {
        for (Action a : policy.onEvent(now, event)) {
            log.append(now).append(a).append('\n');
            perform(a);
        }
    }

    void perform(Action action) {
        if (action instanceof Send a) {
            checkSend(a);
        } else if (action instanceof Refuse a) {
            OpenRequest r = recordFinalAnswer(a.id());
            assertTrue(mayRefuse(r), "rejected although it may have run");
            refused++;
        } else if (action instanceof Fail a) {
            recordFinalAnswer(a.id());
            failed++;
        } else if (action instanceof Release a) {
            requests.get(a.id()).stateReserved = false;
        } else if (action instanceof Cancel a) {
            assertTrue(settings.capabilities().cancel());
            requests.get(a.id()).endsAt.computeIfPresent(a.attempt(), (n, t) -> now + STEP_MICROS);
        } else if (action instanceof Timer a) {
            timers.computeIfAbsent(now + Math.max(1, a.delayMicros()), t -> new ArrayList<>())
                    .add(a.token());
        } else if (action instanceof Probe) {
            assertTrue(settings.capabilities().probes());
        }
    }

    void checkSend(Send a) {
        OpenRequest r = requests.get(a.id());
        Server s = servers.get(a.server());
        assertTrue(r != null && !r.answered, "sent after the final answer");
        assertTrue(r.inFlight.isEmpty(), "two attempts in flight");
        assertTrue(r.sends < settings.capabilities().maxAttempts(), "too many attempts");
        assertEquals(ServerState.SERVING, s.state(), "sent to a server that is draining or gone");
        if (r.mayHaveRun != null && settings.classes().get(0).idempotency() != Idempotency.SAFE) {
            assertEquals(Idempotency.KEYED, settings.classes().get(0).idempotency());
            assertTrue(
                    now < r.mayHaveRunSentAt + settings.classes().get(0).idempotencyWindowMicros());
            IdempotencyScope scope = settings.classes().get(0).idempotencyScope();
            assertTrue(
                    scope == IdempotencyScope.ALL
                            || scope == IdempotencyScope.ZONE && s.zone() == r.mayHaveRun.zone()
                            || scope == IdempotencyScope.CELL && s.cell() == r.mayHaveRun.cell(),
                    "sent outside the idempotency scope");
        }
        if (r.mayHaveRun == null) {
            r.mayHaveRunSentAt = now;
        }
        checkColdServer(s);
        r.inFlight.put(r.sends, a);
        long natural = now + random.nextInt(random.nextInt(10) == 0 ? 5_000_000 : 200_000);
        r.endsAt.put(
                r.sends++,
                Math.max(now + STEP_MICROS, Math.min(natural, Math.min(a.cutAt(), r.deadline))));
    }

    /**
     * Checks that a cold server is sent single requests, or at most the overload multiple of its
     * share of what a warm server has been sent.
     */
    void checkColdServer(Server s) {
        ArrayDeque<Long> sends = recentSends.computeIfAbsent(s.id(), id -> new ArrayDeque<>());
        sends.add(now);
        sends.removeIf(t -> t <= now - settings.serverLimits().overloadMicros());
        if (s.since() == 0 || now - s.since() >= settings.serverLimits().warmUpMicros()) {
            mostSent.merge(s.kind(), sends.size(), Math::max);
            return;
        }
        long sinceStart = sends.stream().filter(t -> t >= s.since()).count();
        double permittedSends =
                settings.serverLimits().overloadMultiple()
                        * settings.serverLimits().coldCapacityShare()
                        * mostSent.getOrDefault(s.kind(), 0);
        assertTrue(
                sinceStart <= Math.max(1, permittedSends),
                s.id() + " is cold and was sent " + sinceStart);
    }

    OpenRequest recordFinalAnswer(long id) {
        OpenRequest r = requests.get(id);
        assertTrue(r != null && !r.answered, "second final answer");
        assertTrue(now <= r.deadline + SLACK_MICROS, "answered after the deadline");
        r.answered = true;
        return r;
    }

    boolean mayRefuse(OpenRequest r) {
        RequestClass c = settings.classes().get(r.arrived.cls());
        boolean writing =
                r.inFlight.values().stream()
                        .anyMatch(
                                s ->
                                        settings.serverKinds()
                                                        .get(servers.get(s.server()).kind())
                                                        .role()
                                                != Role.READ);
        return c.idempotency() == Idempotency.SAFE
                || r.mayHaveRun == null && !writing
                || c.idempotency() == Idempotency.KEYED
                        && c.idempotencyScope() == IdempotencyScope.ALL;
    }

    void checkOpenRequests() {
        for (OpenRequest r : List.copyOf(requests.values())) {
            assertTrue(
                    r.answered || r.streaming || now <= r.deadline + SLACK_MICROS,
                    "no answer by the deadline");
            assertTrue(
                    !r.stateReserved
                            || !r.inFlight.isEmpty()
                            || now - r.idleSince <= RESERVATION_LIMIT_MICROS,
                    "a state is reserved for longer than the limit");
            if (r.answered && r.inFlight.isEmpty() && !r.stateReserved) {
                requests.remove(r.arrived.id());
            }
        }
    }
}
