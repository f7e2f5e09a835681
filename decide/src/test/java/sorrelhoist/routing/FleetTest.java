package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sorrelhoist.routing.Fixtures.*;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sorrelhoist.routing.Routing.*;

/** Many routers over one fleet, each of which sees only its part. */
class FleetTest {
    private static RoutingSettings part(int routers, int self) {
        RoutingSettings s = settings(Idempotency.SAFE, IdempotencyScope.ALL, false, List.of());
        Capabilities l = s.capabilities();
        return new RoutingSettings(
                routers,
                self,
                0,
                false,
                0.1,
                LoadReportMode.NONE,
                s.classes(),
                List.of(),
                s.serverKinds(),
                new Capabilities(
                        5, true, false, true, l.maxBackoffMicros(), false, true, 0.003, 0.003),
                s.serverLimits());
    }

    private static List<RoutingPolicy> routers(int n, List<Server> fleet) {
        List<RoutingPolicy> all = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            all.add(new RoutingPolicy(part(n, i), 31 + i));
            all.get(i).onEvent(0, new Members(ListUpdateKind.RESTORED, fleet));
        }
        return all;
    }

    private static List<Server> fleet(int readers, int writers) {
        List<Server> fleet = new ArrayList<>();
        for (int i = 0; i < readers + writers; i++) {
            fleet.add(i < readers ? reader("r" + i, i % 4) : writer("w" + i, i % 4));
        }
        return fleet;
    }

    /** A world with one clock: each read takes 60 ms, a first token 40 ms, an answer a second. */
    private static final class World {
        record Due(long at, long order, int router, Event event) {}

        final Map<String, List<Long>> sends = new TreeMap<>();
        final PriorityQueue<Due> due =
                new PriorityQueue<>(
                        (a, b) ->
                                a.at != b.at
                                        ? Long.compare(a.at, b.at)
                                        : Long.compare(a.order, b.order));
        final Map<Long, Integer> attempts = new TreeMap<>();
        final List<RoutingPolicy> routers;

        /** Sends to these fail at once. */
        Set<String> failing = Set.of();

        long failingUntil = Long.MAX_VALUE;
        int failures;

        /** Reads sent there from this time on are never answered. */
        String silent = "";

        boolean told = true;
        long silentFrom = Long.MAX_VALUE;
        long order;

        /** Starts the routers in it, so that their own timers run, too. */
        World(int n, List<Server> fleet) {
            routers = new ArrayList<>();
            for (int i = 0; i < n; i++) {
                routers.add(new RoutingPolicy(part(n, i), 31 + i));
                later(0, i, new Members(ListUpdateKind.RESTORED, fleet));
            }
        }

        void later(long at, int router, Event event) {
            due.add(new Due(at, order++, router, event));
        }

        void play(long end) {
            while (!due.isEmpty() && due.peek().at < end) {
                Due d = due.poll();
                for (Action a : routers.get(d.router).onEvent(d.at, d.event)) {
                    take(d.at, d.router, a);
                }
            }
        }

        void take(long now, int router, Action action) {
            if (action instanceof Timer t) {
                later(now + Math.max(1, t.delayMicros()), router, new TimerFired(t.token()));
            } else if (action instanceof Tell t && told) {
                for (int i = 0; i < routers.size(); i++) {
                    if (i != router) {
                        later(now + 5000, i, new PeerMessage(router, t.body()));
                    }
                }
            } else if (action instanceof Send s) {
                sends.computeIfAbsent(s.server(), id -> new ArrayList<>()).add(now);
                int n = attempts.merge(s.id(), 1, Integer::sum) - 1;
                if (s.server().equals(silent) && now >= silentFrom) {
                    later(
                            s.cutAt(),
                            router,
                            new AttemptEnded(
                                    s.id(),
                                    n,
                                    s.server(),
                                    Outcome.TIMED_OUT,
                                    s.cutAt() - now,
                                    false,
                                    0,
                                    ServerLoad.NONE));
                } else if (failing.contains(s.server()) && now < failingUntil) {
                    failures++;
                    later(
                            now + 2000,
                            router,
                            new AttemptEnded(
                                    s.id(),
                                    n,
                                    s.server(),
                                    Outcome.ERROR,
                                    2000,
                                    false,
                                    0,
                                    ServerLoad.NONE));
                } else if (s.server().startsWith("r")) {
                    later(
                            now + 60_000,
                            router,
                            new AttemptEnded(
                                    s.id(),
                                    n,
                                    s.server(),
                                    Outcome.READ,
                                    60_000,
                                    false,
                                    0,
                                    ServerLoad.NONE));
                } else {
                    later(now + 40_000, router, new StreamStarted(s.id(), n, s.server(), 40_000));
                    later(
                            now + SECOND,
                            router,
                            new AttemptEnded(
                                    s.id(),
                                    n,
                                    s.server(),
                                    Outcome.DONE,
                                    SECOND,
                                    true,
                                    0,
                                    ServerLoad.NONE));
                }
            }
        }

        long mostWithin(String server, long from, long to, long window) {
            ArrayDeque<Long> held = new ArrayDeque<>();
            long most = 0;
            for (long t : sends.getOrDefault(server, List.of())) {
                if (t >= from && t < to) {
                    held.add(t);
                    while (held.peek() <= t - window) {
                        held.poll();
                    }
                    most = Math.max(most, held.size());
                }
            }
            return most;
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 50, 150})
    void allRoutersTogetherDoNotPushAColdServerOver(int n) {
        List<Server> fleet = fleet(10, 10);
        World world = new World(n, fleet);
        Random random = new Random(n);
        long start = 30 * SECOND;
        for (int id = 0; id < 150 * 44; id++) {
            long at = SECOND + (long) (random.nextDouble() * 43 * SECOND);
            world.later(
                    at,
                    random.nextInt(n),
                    request(id, "s" + random.nextInt(3000), "p" + random.nextInt(30), 1000, 600));
        }
        for (int i = 0; i < n; i++) {
            for (String id : List.of("r3", "w13")) {
                Server s = fleet.stream().filter(x -> x.id().equals(id)).findFirst().orElseThrow();
                world.later(
                        start,
                        i,
                        new Members(
                                ListUpdateKind.UPDATE,
                                List.of(with(s, ServerState.SERVING, start))));
            }
        }
        world.play(44 * SECOND);
        ServerLimits rules = part(n, 0).serverLimits();
        for (String id : List.of("r3", "w13")) {
            // 150 a second over ten servers of a role: each can do 45 in a window at least, cold
            // 0.26 of it.
            double bearable = rules.overloadMultiple() * rules.coldCapacityShare() * 45;
            long most =
                    world.mostWithin(
                            id, start, start + rules.warmUpMicros(), rules.overloadMicros());
            assertTrue(
                    most <= bearable, n + " routers sent " + id + " " + most + " of " + bearable);
            assertTrue(
                    world.mostWithin(id, start, start + 13 * SECOND, 13 * SECOND) > 0,
                    id + " never tried");
        }
    }

    /** {@return how many reads a reader got in the six seconds after it fell silent} */
    private static long sentToSilent(int n, boolean told) {
        World world = new World(n, fleet(10, 10));
        world.told = told;
        world.silent = "r3";
        world.silentFrom = 20 * SECOND;
        Random random = new Random(n);
        for (int id = 0; id < 75 * 26; id++) {
            world.later(
                    SECOND + (long) (random.nextDouble() * 25 * SECOND),
                    random.nextInt(n),
                    request(id, "s" + random.nextInt(900), "p" + random.nextInt(60), 1000, 600));
        }
        world.play(26 * SECOND);
        return world.mostWithin("r3", 20 * SECOND, 26 * SECOND, 6 * SECOND);
    }

    /**
     * Each alone finds out by a request of its own that is lost, and sees too few to find out soon.
     */
    @Test
    void aReaderThatFallsSilentIsToldOfBeforeItsAttemptsAreCut() {
        long alone = sentToSilent(100, false);
        long told = sentToSilent(100, true);
        assertTrue(
                told < 0.6 * alone,
                told + " reads sent to a silent reader, " + alone + " where none tells");
    }

    /**
     * {@return how many attempts failed in 20 s at these, at 75 requests a second by 100 routers}
     */
    private static int failures(boolean told, Set<String> failing) {
        World world = new World(100, fleet(10, 10));
        world.told = told;
        world.failing = failing;
        Random random = new Random(5);
        for (int id = 0; id < 75 * 20; id++) {
            world.later(
                    SECOND + (long) (random.nextDouble() * 20 * SECOND),
                    random.nextInt(100),
                    request(id, "s" + random.nextInt(900), "p" + random.nextInt(60), 1000, 600));
        }
        world.play(22 * SECOND);
        return world.failures;
    }

    /**
     * A failure costs a request that may not be repeated; each router alone would need two at each
     * such server.
     */
    @Test
    void aServerThatFailsFastIsSetAsideByWhatOthersTell() {
        int alone = failures(false, Set.of("w13"));
        int told = failures(true, Set.of("w13"));
        assertTrue(told < 0.5 * alone, told + " failures, " + alone + " where none tells");
    }

    /**
     * Whoever finds it well tells: the others, who wait much longer for their own trial, send there
     * again.
     */
    @Test
    void aServerThatIsWellAgainSoonHasItsShare() {
        World world = new World(100, fleet(10, 10));
        world.failing = Set.of("w13");
        world.failingUntil = 12 * SECOND;
        Random random = new Random(6);
        for (int id = 0; id < 75 * 30; id++) {
            world.later(
                    SECOND + (long) (random.nextDouble() * 30 * SECOND),
                    random.nextInt(100),
                    request(id, "s" + random.nextInt(900), "p" + random.nextInt(60), 1000, 600));
        }
        world.play(31 * SECOND);
        long sick =
                world.sends.get("w13").stream()
                        .filter(t -> t > 6 * SECOND && t < 12 * SECOND)
                        .count();
        long well =
                world.sends.get("w13").stream()
                        .filter(t -> t > 21 * SECOND && t < 31 * SECOND)
                        .count();
        assertTrue(sick <= 20, sick + " sent in six seconds to a server that fails, of about 45");
        assertTrue(well >= 35, well + " sent in ten seconds once it was well, of about 75");
    }

    /**
     * Half of the writers fail: the others must not be set aside for what is told of them by
     * mistake or chance.
     */
    @Test
    void whatIsToldOfManyServersLeavesTheSoundOnesInUse() {
        int alone = failures(false, Set.of("w10", "w12", "w14", "w16", "w18"));
        int told = failures(true, Set.of("w10", "w12", "w14", "w16", "w18"));
        assertTrue(told <= alone, told + " failures, " + alone + " where none tells");
    }

    /**
     * A restarted reader is worth a quarter of a warm one from the start: it must not stand idle
     * until it is warm.
     */
    @Test
    void aColdServerGetsItsPartAlsoWhereEachRouterSeesItSeldom() {
        List<Server> fleet = fleet(25, 25);
        World world = new World(100, fleet);
        Random random = new Random(8);
        long start = 25 * SECOND;
        for (int id = 0; id < 75 * 37; id++) {
            world.later(
                    SECOND + (long) (random.nextDouble() * 37 * SECOND),
                    random.nextInt(100),
                    request(id, "s" + random.nextInt(2000), "p" + random.nextInt(200), 1000, 600));
        }
        List<Server> cold =
                fleet.stream()
                        .filter(s -> Set.of("r3", "r7", "w27", "w31").contains(s.id()))
                        .map(s -> with(s, ServerState.SERVING, start))
                        .toList();
        for (int i = 0; i < 100; i++) {
            world.later(start, i, new Members(ListUpdateKind.UPDATE, cold));
        }
        world.play(start + 12 * SECOND);
        long all = 0;
        for (Server s : cold) {
            // 75 a second over 25 of a role: 36 in 12 s to a warm one.
            long sent = world.mostWithin(s.id(), start, start + 12 * SECOND, 12 * SECOND);
            long most = world.mostWithin(s.id(), start, start + 12 * SECOND, 3 * SECOND);
            all += sent;
            assertTrue(
                    sent >= 1 && most <= 9 * 3 * 0.26,
                    s.id() + " was sent " + sent + ", " + most + " in 3 s");
        }
        assertTrue(all >= 4 * 36 * 0.1, all + " sent to the four");
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 150})
    void routersThatKnowNothingSendAColdFleetLittle(int n) {
        List<Server> cold =
                fleet(10, 10).stream().map(s -> with(s, ServerState.SERVING, SECOND)).toList();
        World world = new World(n, cold);
        Random random = new Random(n);
        for (int id = 0; id < 150 * 8; id++) {
            world.later(
                    SECOND + (long) (random.nextDouble() * 8 * SECOND),
                    random.nextInt(n),
                    request(id, "s" + id, "p" + random.nextInt(30), 1000, 600));
        }
        world.play(10 * SECOND);
        for (String id : world.sends.keySet()) {
            assertTrue(
                    world.mostWithin(id, 0, 10 * SECOND, 3 * SECOND) <= 12,
                    id + world.sends.get(id));
        }
    }

    @Test
    void equalCostsDoNotSendAllRoutersToTheFirstReader() {
        Map<String, Integer> hits = new TreeMap<>();
        List<RoutingPolicy> routers = routers(100, fleet(10, 10));
        for (int i = 0; i < 100; i++) {
            hits.merge(
                    send(routers.get(i).onEvent(SECOND, request(i, "s" + i, "p", 4000, 300)))
                            .server(),
                    1,
                    Integer::sum);
            hits.merge(
                    send(routers.get(i).onEvent(SECOND, request(1000 + i, "t" + i, "p", 4000, 300)))
                            .server(),
                    1,
                    Integer::sum);
        }
        hits.remove(
                send(routers(1, fleet(10, 10)).get(0).onEvent(0, request(1, "x", "p", 4000, 300)))
                        .server());
        assertTrue(hits.size() > 6 && hits.values().stream().allMatch(h -> h < 40), "" + hits);
    }

    @Test
    void manyRoutersDoNotPileAHotPrefixOnOneReader() {
        World world = new World(100, fleet(10, 10));
        Random random = new Random(3);
        for (int id = 0; id < 3000; id++) {
            world.later(
                    SECOND + (long) (random.nextDouble() * 30 * SECOND),
                    random.nextInt(100),
                    request(
                            id,
                            "s" + id,
                            id % 2 == 0 ? "hot" : "p" + random.nextInt(60),
                            1000,
                            800));
        }
        world.play(31 * SECOND);
        long most =
                world.sends.entrySet().stream()
                        .filter(e -> e.getKey().startsWith("r"))
                        .mapToLong(e -> e.getValue().stream().filter(t -> t > 16 * SECOND).count())
                        .max()
                        .orElseThrow();
        assertTrue(most < 450, "the busiest of ten readers got " + most + " of 1500");
    }

    @Test
    void aCellWithFewWritersSendsItsSurplusToThoseWithMany() {
        List<Server> skewed =
                List.of(
                        reader("r0", 0),
                        reader("r1", 0),
                        reader("r2", 0),
                        reader("r3", 1),
                        writer("w0", 0),
                        writer("w1", 1),
                        writer("w2", 1),
                        writer("w3", 1));
        World world = new World(40, skewed);
        Random random = new Random(5);
        for (int id = 0; id < 2000; id++) {
            world.later(
                    SECOND + (long) (random.nextDouble() * 30 * SECOND),
                    random.nextInt(40),
                    request(id, "s" + id, null, 1000, 0));
        }
        world.play(33 * SECOND);
        int all =
                List.of("w0", "w1", "w2", "w3").stream()
                        .mapToInt(w -> world.sends.get(w).size())
                        .sum();
        for (String w : List.of("w0", "w1", "w2", "w3")) {
            double share = world.sends.get(w).size() / (double) all;
            assertTrue(share > 0.15 && share < 0.35, w + " took " + share);
        }
    }

    @Test
    void whatTheDoorAlwaysLetsInIsOneSumForAllRouters() {
        Map<Integer, Integer> letIn = new TreeMap<>();
        for (int n : List.of(3, 150)) {
            List<RoutingPolicy> routers = routers(n, fleet(10, 10));
            for (int id = 0; id < 600; id++) {
                letIn.merge(
                        n,
                        all(
                                        routers.get(id % n)
                                                .onEvent(
                                                        SECOND,
                                                        request(id, "s" + id, null, 900_000, 0)),
                                        Send.class)
                                .size(),
                        Integer::sum);
            }
        }
        assertTrue(letIn.get(3) >= 6 && letIn.get(3) <= 18, "" + letIn);
        assertTrue(letIn.get(150) >= 6 && letIn.get(150) <= 60, "" + letIn);
    }

    @Test
    void theDoorReopensSoonAfterAJamThoughFewRequestsCome() {
        RoutingPolicy d = routers(100, fleet(4, 4)).get(0);
        long now = SECOND;
        int served = 0;
        for (int id = 0; id < 40; id++, now += SECOND) {
            long first = id >= 15 && id < 25 ? 3 * SECOND : 40_000;
            now += id == 25 ? 8 * SECOND : 0;
            for (Send s : all(d.onEvent(now, request(id, "s" + id, null, 1000, 0)), Send.class)) {
                Send w = send(d.onEvent(now + 50_000, ended(s, 0, Outcome.READ, 50_000, 0)));
                d.onEvent(now + 50_000 + first, new StreamStarted(id, 1, w.server(), first));
                d.onEvent(now + 60_000 + first, ended(w, 1, Outcome.DONE, first + 10_000, 0));
                now += first;
                served += id >= 25 ? 1 : 0;
            }
        }
        assertTrue(served >= 12, "served " + served);
    }

    @Test
    void aLagThatOneRouterFeltIsPassedOverByAnother() {
        List<RoutingPolicy> two = routers(2, fleet(4, 4));
        Send s = send(two.get(0).onEvent(SECOND, request(1, "a", "p", 1000, 900)));
        List<Action> after =
                two.get(0).onEvent(3 * SECOND, ended(s, 0, Outcome.READ, 2 * SECOND, 0));
        for (int id = 2; all(after, Tell.class).isEmpty() && id < 40; id++) {
            after = two.get(0).onEvent(3 * SECOND, request(id, "b" + id, null, 100, 0));
            Send t = send(after);
            after = two.get(0).onEvent(3 * SECOND, ended(t, 0, Outcome.FULL, 1000, 0));
        }
        Tell told = all(after, Tell.class).get(0);
        assertTrue(told.body().length() <= 256);
        assertEquals(
                s.server(),
                send(two.get(1).onEvent(3 * SECOND, request(90, "c", "p", 1000, 900))).server());
        two.get(1).onEvent(3 * SECOND, new PeerMessage(0, told.body()));
        assertNotEquals(
                s.server(),
                send(two.get(1).onEvent(3 * SECOND, request(91, "d", "p", 1000, 900))).server());
    }

    @Test
    void foreignMessagesAreSurvived() {
        RoutingPolicy d = routers(2, fleet(2, 2)).get(0);
        Random random = new Random(1);
        for (int i = 0; i < 2000; i++) {
            StringBuilder body = new StringBuilder();
            for (int n = random.nextInt(300); n > 0; n--) {
                body.append("0:lxf. z9\u00e9\n".charAt(random.nextInt(11)));
            }
            d.onEvent(i, new PeerMessage(random.nextInt(9), body.toString()));
        }
        assertFalse(all(d.onEvent(SECOND, request(1, "a", null, 1000, 0)), Send.class).isEmpty());
    }

    @Test
    void aServerThatIsFullForOneClassStillTakesTheOthers() {
        RoutingPolicy d = new RoutingPolicy(part(2, 0), 1);
        d.onEvent(0, new Members(ListUpdateKind.RESTORED, fleet(2, 2)));
        Send s = send(d.onEvent(SECOND, request(1, "a", "p", 1000, 900)));
        Send elsewhere = send(d.onEvent(SECOND + 200_000, ended(s, 0, Outcome.FULL, 200_000, 0)));
        assertNotEquals(s.server(), elsewhere.server());
        d.onEvent(SECOND + 300_000, ended(elsewhere, 1, Outcome.READ, 100_000, 0));
        long now = 3 * SECOND;
        Arrived other = new Arrived(2, 1, 0, "b", "p", 1000, 900, 200, 4 * SECOND);
        Arrived same = new Arrived(3, 0, 0, "c", "p", 1000, 900, 200, 4 * SECOND);
        assertEquals(elsewhere.server(), send(d.onEvent(now, same)).server());
        List<String> forOther = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            Arrived a = new Arrived(10 + i, 1, 0, "x" + i, null, 3000, 0, 200, 4 * SECOND);
            all(d.onEvent(now, a), Send.class).forEach(sent -> forOther.add(sent.server()));
        }
        assertTrue(forOther.contains(s.server()), "" + forOther);
        assertFalse(all(d.onEvent(now, other), Send.class).isEmpty());
    }
}
