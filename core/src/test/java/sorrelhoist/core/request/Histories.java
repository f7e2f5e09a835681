package sorrelhoist.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import sorrelhoist.core.record.DecisionListener;
import sorrelhoist.core.time.TimerQueue;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerLoad;
import sorrelhoist.routing.RoutingEvents.ServerState;

/**
 * Random histories of a router in virtual time: clients connect and disconnect, engines answer,
 * fail, hang, stall and send invalid data, and the endpoint list changes. Every command of the
 * router is checked against the rules when it is emitted.
 */
final class Histories {
    private static final class Client {
        long firstTokenBy;
        long endsBy = Long.MAX_VALUE;
        int cls;
        int tokens;
        boolean ended;
        boolean gone;
    }

    private record HeldState(String name, long since) {}

    final List<String> broken = new ArrayList<>();
    private final SplittableRandom random;
    private final Router router;
    private final TimerQueue<Runnable> world = new TimerQueue<>();
    private final Map<Long, Client> clients = new HashMap<>();
    private final Map<String, HeldState> held = new HashMap<>();
    private final Map<String, Integer> outBy = new HashMap<>();
    private final Map<AttemptId, String> names = new HashMap<>();
    private final Map<String, Long> drainedAt = new HashMap<>();
    private final Set<AttemptId> over = new HashSet<>();
    private final Map<AttemptId, String> stateOf = new HashMap<>();
    private final UnaryOperator<Command> sabotage;
    private final double trouble;
    private long now;
    private int states;
    int served;
    int refused;
    int failed;
    int resumed;

    Histories(long seed, UnaryOperator<Command> sabotage) {
        this(seed, sabotage, s -> DecisionListener.NONE);
    }

    Histories(
            long seed,
            UnaryOperator<Command> sabotage,
            Function<RouterSettings, DecisionListener> tap) {
        this.random = new SplittableRandom(seed);
        this.sabotage = sabotage;
        this.trouble = random.nextDouble() * 0.5;
        RouterSettings settings =
                Fleet.settings(random.nextInt(5) > 0, random.nextInt(3) > 0, seed);
        this.router = new Router(settings, this::take, tap.apply(settings));
        router.endpointsUpdated(0, ListUpdateKind.COMPLETE, Fleet.servers());
    }

    /** Runs one history to its end. */
    void play() {
        int count = 1 + random.nextInt(12);
        for (int i = 0; i < count; i++) {
            world.schedule(random.nextLong(2 * Fleet.SECOND), this::arrive);
        }
        if (random.nextInt(4) == 0) {
            world.schedule(random.nextLong(2 * Fleet.SECOND), this::drainOne);
        }
        for (long steps = 0; world.size() > 0 || router.metrics().openRequests() > 0; steps++) {
            now = Math.max(now, Math.min(world.nextDueMicros(), router.nextTimerAt()));
            advanceToNow();
            if (steps > 100_000) {
                broken.add("history does not end");
                return;
            }
        }
        // Fires the last release and timeout timers; bounded, as periodic timers never end.
        for (long until = now + 6 * Fleet.SECOND; router.nextTimerAt() <= until; ) {
            now = Math.max(now, router.nextTimerAt());
            advanceToNow();
        }
        checkNothingLeft();
        clients.values().stream()
                .filter(c -> !c.ended && !c.gone)
                .forEach(c -> broken.add("rule 1: no final result"));
    }

    private void advanceToNow() {
        router.advance(now);
        for (Runnable due = world.pollDue(now); due != null; due = world.pollDue(now)) {
            due.run();
        }
        check();
    }

    private void checkNothingLeft() {
        RouterMetrics left = router.metrics();
        int total = left.knownRequests() + left.runningAttempts();
        total += left.wantedReservations() + left.reservationCount();
        if (total > 0) {
            broken.add(
                    String.format(
                            "state left over: %d known requests, %d running attempts,"
                                    + " %d wanted reservations, %d reservations",
                            left.knownRequests(),
                            left.runningAttempts(),
                            left.wantedReservations(),
                            left.reservationCount()));
        }
    }

    private void arrive() {
        Client c = new Client();
        c.cls = random.nextInt(3);
        long timeout = random.nextInt(3) == 0 ? 50_000 + random.nextLong(5 * Fleet.SECOND) : 0;
        int most = 1 + random.nextInt(30);
        c.firstTokenBy =
                now + (timeout > 0 ? Math.min(timeout, 4 * Fleet.SECOND) : 4 * Fleet.SECOND);
        c.endsBy = timeout > 0 ? now + timeout : Long.MAX_VALUE;
        pending = c;
        long client = router.requestArrived(now, Fleet.call(c.cls, most, timeout));
        clients.put(client, c);
        pending = null;
        if (random.nextInt(4) == 0) {
            long blocked = now + random.nextLong(Fleet.SECOND);
            world.schedule(blocked, () -> router.clientBackpressureChanged(now, client, true));
            if (random.nextInt(3) > 0) {
                world.schedule(
                        blocked + random.nextLong(4 * Fleet.SECOND),
                        () -> router.clientBackpressureChanged(now, client, false));
            }
        }
        if (random.nextInt(4) == 0) {
            world.schedule(
                    now + random.nextLong(Fleet.SECOND),
                    () -> {
                        if (!c.ended) {
                            c.gone = true;
                            router.clientDisconnected(now, client);
                        }
                    });
        }
    }

    private Client pending;

    private Client client(long id) {
        return clients.getOrDefault(id, pending);
    }

    private void drainOne() {
        List<Server> all = Fleet.servers();
        Server s = all.get(random.nextInt(all.size()));
        drainedAt.put(s.id(), now);
        router.endpointsUpdated(
                now,
                ListUpdateKind.UPDATE,
                List.of(
                        new Server(
                                s.id(),
                                s.zone(),
                                s.kind(),
                                s.cell(),
                                random.nextBoolean() ? ServerState.DRAINING : ServerState.GONE,
                                1,
                                0)));
    }

    // Engines

    private void take(Command given) {
        Command order = sabotage.apply(given);
        if (order instanceof Command.StartPrefill o) {
            sent(o.attempt(), o.requestName(), o.engine());
            read(o);
        } else if (order instanceof Command.StartDecode o) {
            sent(o.attempt(), o.requestName(), o.engine());
            write(o);
        } else if (order instanceof Command.CancelAttempt o) {
            end(o.attempt());
        } else if (order instanceof Command.ReleaseReservation o) {
            held.keySet()
                    .removeIf(s -> o.prefillState().isEmpty() ? false : s.equals(o.prefillState()));
        } else if (order instanceof Command.DeliverToken o) {
            Client c = client(o.clientId());
            if (c.ended || c.gone || now > c.endsBy) {
                broken.add("rule 1: token delivered after the end of the request");
            }
            if (o.index() != c.tokens++) {
                broken.add("token lost or duplicated");
            }
            if (c.tokens == 1 && now > c.firstTokenBy) {
                broken.add("rule 1: first token delivered after the deadline");
            }
        } else if (order instanceof Command.FinishRequest o) {
            finish(client(o.clientId()), o.result());
        }
    }

    private void finish(Client c, RequestResult answer) {
        if (c.ended || c.gone) {
            broken.add("rule 1: second final result");
        }
        c.ended = true;
        served += answer instanceof RequestResult.Served ? 1 : 0;
        refused += answer instanceof RequestResult.Refused ? 1 : 0;
        failed +=
                answer instanceof RequestResult.Failed || answer instanceof RequestResult.Stalled
                        ? 1
                        : 0;
        if (now > c.endsBy || c.tokens == 0 && now > c.firstTokenBy) {
            broken.add("rule 1: final result " + (now - c.firstTokenBy) + " us late");
        }
    }

    private void sent(AttemptId id, String name, String engine) {
        names.put(id, name);
        if (outBy.merge(name, 1, Integer::sum) > 1) {
            broken.add("rule 2: two attempts running at once");
        }
        if (drainedAt.containsKey(engine)) {
            broken.add("rule 3: attempt sent to " + engine + ", which is draining");
        }
    }

    private boolean end(AttemptId id) {
        if (over.add(id)) {
            outBy.merge(names.get(id), -1, Integer::sum);
            return true;
        }
        return false;
    }

    private boolean isOut(AttemptId id) {
        return !over.contains(id);
    }

    private void later(long delay, AttemptId id, Runnable what) {
        world.schedule(
                now + delay,
                () -> {
                    // A transport reports nothing about a cancelled attempt, but a report may
                    // already be in transit.
                    if (isOut(id) || random.nextInt(3) == 0) {
                        what.run();
                    }
                });
    }

    private Outcome trouble() {
        Outcome[] kinds = {Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.RESET};
        return kinds[random.nextInt(kinds.length)];
    }

    private void lose(AttemptId id, Outcome how, long note) {
        end(id);
        router.attemptFailed(now, id, how, note, ServerLoad.NONE);
    }

    private void read(Command.StartPrefill o) {
        double luck = random.nextDouble();
        long took = 1000 + random.nextLong(100_000);
        if (luck < trouble / 2) {
            later(took, o.attempt(), () -> lose(o.attempt(), trouble(), 0));
        } else if (luck >= trouble * 0.7) {
            String state = "s" + states++;
            later(
                    took,
                    o.attempt(),
                    () -> {
                        if (isOut(o.attempt())) {
                            held.put(state, new HeldState(o.requestName(), now));
                        }
                        end(o.attempt());
                        router.prefillCompleted(
                                now, o.attempt(), state, random.nextInt(100), ServerLoad.NONE);
                    });
        }
    }

    private void write(Command.StartDecode o) {
        double luck = random.nextDouble();
        long took = 1000 + random.nextLong(100_000);
        if (o.prefillState() != null) {
            stateOf.put(o.attempt(), o.prefillState().stateId());
        }
        if (luck < trouble * 0.3) {
            Outcome how = trouble();
            later(took, o.attempt(), () -> lose(o.attempt(), how, 0));
            if (how == Outcome.ERROR || how == Outcome.RESET) {
                run(o);
            }
        } else if (luck < trouble * 0.4) {
            later(
                    took,
                    o.attempt(),
                    () -> {
                        held.remove(stateOf.get(o.attempt()));
                        lose(o.attempt(), Outcome.FULL, 1);
                    });
        } else if (luck >= trouble * 0.6) {
            run(o);
            tokens(o, o.firstTokenIndex(), took);
        }
    }

    /** Records a possible side effect; checks that it occurs once where the class requires it. */
    private void run(Command.StartDecode o) {
        boolean again = !ran.add(o.requestName());
        if (o.request().classIndex() == Fleet.UNSAFE && (again || o.firstTokenIndex() > 0)) {
            broken.add("rule 2: request of an unsafe class ran twice");
        }
        String cell = o.engine().equals("w1") ? "1" : "0";
        String first = cells.putIfAbsent(o.requestName(), cell);
        if (o.request().classIndex() == Fleet.KEYED
                && (first != null && !first.equals(cell) || o.firstTokenIndex() > 0)) {
            broken.add(
                    "rule 2: request of a keyed class ran in two cells,"
                            + " or ran again after its first token");
        }
    }

    private final Set<String> ran = new HashSet<>();
    private final Map<String, String> cells = new HashMap<>();

    private void tokens(Command.StartDecode o, int index, long delay) {
        later(
                delay,
                o.attempt(),
                () -> {
                    held.remove(stateOf.get(o.attempt()));
                    double luck = random.nextDouble();
                    int most = o.request().maxOutputTokens();
                    if (luck < trouble * 0.02) {
                        lose(o.attempt(), random.nextBoolean() ? Outcome.ERROR : Outcome.RESET, 0);
                    } else if (luck < trouble * 0.04) {
                        return;
                    } else if (luck < trouble * 0.06) {
                        router.tokenReceived(
                                now, o.attempt(), index + 1 + random.nextInt(3), "x", null);
                        tokens(o, index, 1000);
                    } else if (index >= most
                            || index > o.firstTokenIndex() && random.nextInt(12) == 0) {
                        end(o.attempt());
                        router.tokenStreamCompleted(
                                now,
                                o.attempt(),
                                random.nextDouble() < trouble * 0.1 ? index + 1 : index,
                                0,
                                ServerLoad.NONE);
                        router.tokenReceived(now, o.attempt(), index, "after", null);
                    } else {
                        router.tokenReceived(now, o.attempt(), index, "t", null);
                        tokens(o, index + 1, 1000 + random.nextLong(60_000));
                    }
                });
    }

    /** Checks that sends have one outcome, and rule 5: unused states do not outlive the limit. */
    private void check() {
        if (router.metrics().sendsWithoutOutcome() != router.metrics().runningAttempts()) {
            broken.add(
                    "not every send has exactly one outcome: "
                            + router.metrics().sendsWithoutOutcome()
                            + " sends without outcome, "
                            + router.metrics().runningAttempts()
                            + " running attempts");
        }
        held.forEach(
                (state, h) -> {
                    if (outBy.getOrDefault(h.name(), 0) == 0
                            && now - Math.max(h.since(), lastOut.getOrDefault(h.name(), 0L))
                                    > Fleet.RELEASE) {
                        broken.add("rule 5: " + state + " held for too long");
                    }
                });
        outBy.forEach(
                (name, n) -> {
                    if (n > 0) {
                        lastOut.put(name, now);
                    }
                });
    }

    private final Map<String, Long> lastOut = new HashMap<>();
}
