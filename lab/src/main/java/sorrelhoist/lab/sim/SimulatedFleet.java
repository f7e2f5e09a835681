package sorrelhoist.lab.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import sorrelhoist.core.request.AttemptId;
import sorrelhoist.core.request.Command;
import sorrelhoist.core.request.InferenceRequest;
import sorrelhoist.core.request.RequestResult;
import sorrelhoist.core.request.RequestTimeouts;
import sorrelhoist.core.request.Router;
import sorrelhoist.core.request.RouterIdentity;
import sorrelhoist.core.request.RouterSettings;
import sorrelhoist.core.request.StreamSettings;
import sorrelhoist.core.reservation.ReleaseReach;
import sorrelhoist.core.time.TimerQueue;
import sorrelhoist.routing.Knowledge;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerLoad;
import sorrelhoist.routing.RoutingEvents.ServerState;
import sorrelhoist.routing.RoutingSettings;
import sorrelhoist.routing.RoutingSettings.Capabilities;
import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.IdempotencyScope;
import sorrelhoist.routing.RoutingSettings.LoadReportMode;
import sorrelhoist.routing.RoutingSettings.RequestClass;
import sorrelhoist.routing.RoutingSettings.Role;
import sorrelhoist.routing.RoutingSettings.ServerKind;
import sorrelhoist.routing.RoutingSettings.ServerLimits;

/**
 * A fleet in virtual time: real routers ({@code core} and the routing policy) over a small model of
 * engines. A reader reads one prompt after the other, from where the text that it keeps ends; a
 * writer answers after a time that grows with what it writes. Everything follows from the seed.
 */
public final class SimulatedFleet {
    /** What a router's requests went through since it was last asked. */
    public static final class Tally {
        int served;
        int unserved;
        double firstMicros;
        long missed;
        long prompt;

        /**
         * {@return the mean time to the first token, microseconds; not a number where none was
         * served}
         */
        public double meanFirst() {
            return served == 0 ? Double.NaN : firstMicros / served;
        }

        /** {@return the share of prompt tokens that were read anew} */
        public double missedShare() {
            return prompt == 0 ? Double.NaN : missed / (double) prompt;
        }
    }

    private static final long SECOND = 1_000_000;
    private static final double READ_PER_MICRO = 0.02; // 20,000 tokens a second
    private static final long READ_BASE = 8_000;
    private static final long WRITE_BASE = 25_000;
    private static final long WRITE_EACH = 1_500;
    private static final long TOKEN = 25_000;
    private static final int TOKENS = 4;
    private static final long HOP = 500;
    private static final int PREFIXES = 60;
    private static final int PREFIX_TOKENS = 2000;
    private static final int SESSIONS_EACH = 4;
    private static final int TURN_TOKENS = 1500;
    private static final long KEPT_TOKENS = 250_000;

    private static final class Reader {
        long busyUntil;
        final PrefixCache texts = new PrefixCache(KEPT_TOKENS);
    }

    private final class Seat {
        Router router;
        Tally tally = new Tally();
        final Map<Long, Long> sentAt = new HashMap<>();
        long wakeAt = Long.MAX_VALUE;
        int life;

        /** Lets the router's alarms ring when they are due. */
        void arm() {
            long next = router.nextTimerAt();
            if (next < wakeAt) {
                wakeAt = next;
                int mine = life;
                world.schedule(
                        next,
                        () -> {
                            if (mine == life) {
                                wakeAt = Long.MAX_VALUE;
                                router.advance(now);
                                arm();
                            }
                        });
            }
        }
    }

    private final SplittableRandom random;
    private final TimerQueue<Runnable> world = new TimerQueue<>();
    private final Map<String, Reader> readers = new LinkedHashMap<>();
    private final Map<String, Integer> writing = new HashMap<>();
    private final Map<String, Long> turns = new HashMap<>();
    private final List<Server> servers = new ArrayList<>();
    private final List<Seat> seats = new ArrayList<>();
    private final double rate;
    private long now = SECOND;
    private long names;

    /**
     * Makes a fleet.
     *
     * @param routers how many
     * @param readers how many
     * @param writers how many
     * @param rate requests a second, over all routers
     * @param seed of everything random
     */
    public SimulatedFleet(int routers, int readers, int writers, double rate, long seed) {
        this.random = new SplittableRandom(seed);
        this.rate = rate;
        for (int i = 0; i < readers; i++) {
            this.readers.put("r" + i, new Reader());
            servers.add(new Server("r" + i, 0, 0, i % 4, ServerState.SERVING, 1, 0));
        }
        for (int i = 0; i < writers; i++) {
            servers.add(new Server("w" + i, 0, 1, i % 4, ServerState.SERVING, 1, 0));
        }
        for (int i = 0; i < routers; i++) {
            seats.add(new Seat());
            restart(i);
        }
        world.schedule(now, this::arrive);
    }

    /** Starts a router anew, knowing nothing but the roster. */
    public void restart(int number) {
        Seat seat = seats.get(number);
        seat.life++;
        seat.wakeAt = Long.MAX_VALUE;
        seat.sentAt.clear();
        seat.tally = new Tally();
        int life = seat.life;
        seat.router = new Router(settings(number), order -> carry(seat, life, order));
        seat.router.endpointsUpdated(now, ListUpdateKind.COMPLETE, servers);
        seat.arm();
    }

    private RouterSettings settings(int self) {
        RoutingSettings decide =
                new RoutingSettings(
                        seats.size(),
                        self,
                        0,
                        false,
                        1,
                        LoadReportMode.NONE,
                        List.of(
                                new RequestClass(
                                        2 * SECOND,
                                        40_000,
                                        1,
                                        Idempotency.SAFE,
                                        IdempotencyScope.ALL,
                                        0)),
                        List.of(),
                        List.of(
                                new ServerKind(Role.READ, 200_000),
                                new ServerKind(Role.WRITE, 200_000)),
                        new Capabilities(6, true, false, true, SECOND, false, false, 0, 0),
                        new ServerLimits(0.3, 12 * SECOND, 3, 3 * SECOND, SECOND / 2));
        return new RouterSettings(
                new RouterIdentity("edge" + self, seats.get(self).life),
                decide,
                new RequestTimeouts(List.of(6 * SECOND), List.of(0L), 0),
                StreamSettings.ofTokens(true, 10 * SECOND),
                100_000,
                ReleaseReach.HOLDER,
                random.nextLong());
    }

    /** {@return what a router knows} */
    public Knowledge exportKnowledge(int router) {
        return seats.get(router).router.exportKnowledge(now, Integer.MAX_VALUE);
    }

    /** Teaches a router. */
    public void importKnowledge(int router, Knowledge k, long age) {
        seats.get(router).router.importKnowledge(now, k, age);
    }

    /** {@return what a router's requests went through since this was last asked} */
    public Tally takeTally(int router) {
        Tally t = seats.get(router).tally;
        seats.get(router).tally = new Tally();
        return t;
    }

    /** Lets time pass. */
    public void run(long micros) {
        long end = now + micros;
        while (world.nextDueMicros() <= end) {
            now = Math.max(now, world.nextDueMicros());
            for (Runnable due = world.pollDue(now); due != null; due = world.pollDue(now)) {
                due.run();
            }
        }
        now = end;
    }

    private void arrive() {
        world.schedule(
                now + (long) (-Math.log(1 - random.nextDouble()) / rate * SECOND), this::arrive);
        int sessions = SESSIONS_EACH * seats.size();
        int session = random.nextInt(sessions);
        // A front layer that keeps a session at its router most of the time, as a plain one with
        // affinity does.
        int at = random.nextInt(4) > 0 ? session % seats.size() : random.nextInt(seats.size());
        // The busiest shared texts are asked for far more often than the others.
        int prefix = Math.min(random.nextInt(PREFIXES), session % PREFIXES);
        long turn = turns.merge("s" + session, 1L, Long::sum) % 8;
        long prompt = PREFIX_TOKENS + TURN_TOKENS * (turn + 1);
        Seat seat = seats.get(at);
        long sent = now;
        InferenceRequest call =
                InferenceRequest.builder("", prompt, TOKENS)
                        .clientRequestId("c")
                        .session("s" + session + "." + turns.get("s" + session) / 8)
                        .sharedPrefix("p" + prefix, PREFIX_TOKENS)
                        .build();
        pending = sent;
        long client = seat.router.requestArrived(now, call);
        seat.sentAt.put(client, sent);
        seat.arm();
    }

    private long pending;

    private void later(Seat seat, int life, long at, Runnable what) {
        world.schedule(
                at,
                () -> {
                    if (seat.life == life) {
                        what.run();
                        seat.arm();
                    }
                });
    }

    private void carry(Seat seat, int life, Command order) {
        if (seat.life != life) {
            return;
        }
        if (order instanceof Command.StartPrefill o) {
            Reader r = readers.get(o.engine());
            long at = Math.max(now + HOP, r.busyUntil);
            long kept =
                    Math.max(
                            Math.min(o.promptTokens(), r.texts.cachedTokens(o.request().session())),
                            Math.min(
                                    o.request().sharedPrefixTokens(),
                                    r.texts.cachedTokens(o.request().sharedPrefix())));
            long missed = o.promptTokens() - kept;
            r.texts.add(o.request().sharedPrefix(), o.request().sharedPrefixTokens());
            r.texts.add(o.request().session(), o.promptTokens());
            seat.tally.missed += missed;
            seat.tally.prompt += o.promptTokens();
            r.busyUntil = at + READ_BASE + (long) (missed / READ_PER_MICRO);
            String state = "x" + names++;
            later(
                    seat,
                    life,
                    r.busyUntil + HOP,
                    () ->
                            seat.router.prefillCompleted(
                                    now, o.attempt(), state, kept, ServerLoad.NONE));
        } else if (order instanceof Command.StartDecode o) {
            int busy = writing.merge(o.engine(), 1, Integer::sum);
            long first = now + 2 * HOP + WRITE_BASE + WRITE_EACH * busy;
            world.schedule(
                    first + TOKENS * TOKEN, () -> writing.merge(o.engine(), -1, Integer::sum));
            token(seat, life, o.attempt(), 0, first);
        } else if (order instanceof Command.DeliverToken o && o.index() == 0) {
            seat.tally.served++;
            seat.tally.firstMicros += now - seat.sentAt.getOrDefault(o.clientId(), pending);
        } else if (order instanceof Command.FinishRequest o) {
            seat.sentAt.remove(o.clientId());
            seat.tally.unserved += o.result() instanceof RequestResult.Served ? 0 : 1;
        }
    }

    private void token(Seat seat, int life, AttemptId id, int index, long at) {
        later(
                seat,
                life,
                at,
                () -> {
                    if (index < TOKENS) {
                        seat.router.tokenReceived(now, id, index, "t", null);
                        token(seat, life, id, index + 1, now + TOKEN);
                    } else {
                        seat.router.tokenStreamCompleted(now, id, index, 0, ServerLoad.NONE);
                    }
                });
    }
}
