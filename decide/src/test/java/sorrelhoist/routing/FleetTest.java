package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static sorrelhoist.routing.Fixtures.SECOND;
import static sorrelhoist.routing.Fixtures.all;
import static sorrelhoist.routing.Fixtures.decodeServer;
import static sorrelhoist.routing.Fixtures.ended;
import static sorrelhoist.routing.Fixtures.prefillServer;
import static sorrelhoist.routing.Fixtures.request;
import static sorrelhoist.routing.Fixtures.send;
import static sorrelhoist.routing.Fixtures.withState;
import static sorrelhoist.routing.FleetSimulation.fleet;
import static sorrelhoist.routing.FleetSimulation.routerSettings;
import static sorrelhoist.routing.FleetSimulation.routers;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Members;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.ServerState;
import sorrelhoist.routing.RoutingEvents.StreamStarted;
import sorrelhoist.routing.RoutingSettings.ServerLimits;

/** Tests many routers that share one fleet, each of which sees only its share of the requests. */
class FleetTest {
    @ParameterizedTest
    @ValueSource(ints = {2, 50, 150})
    void allRoutersTogetherDoNotOverloadAWarmingUpServer(int n) {
        List<Server> fleet = fleet(10, 10);
        FleetSimulation world = new FleetSimulation(n, fleet);
        Random random = new Random(n);
        long start = 30 * SECOND;
        for (int id = 0; id < 150 * 44; id++) {
            long at = SECOND + (long) (random.nextDouble() * 43 * SECOND);
            world.schedule(
                    at,
                    random.nextInt(n),
                    request(id, "s" + random.nextInt(3000), "p" + random.nextInt(30), 1000, 600));
        }
        for (int i = 0; i < n; i++) {
            for (String id : List.of("r3", "w13")) {
                Server s = fleet.stream().filter(x -> x.id().equals(id)).findFirst().orElseThrow();
                world.schedule(
                        start,
                        i,
                        new Members(
                                ListUpdateKind.UPDATE,
                                List.of(withState(s, ServerState.SERVING, start))));
            }
        }
        world.runUntil(44 * SECOND);
        ServerLimits rules = routerSettings(n, 0).serverLimits();
        for (String id : List.of("r3", "w13")) {
            // 150 requests per second over ten servers of a role: each can do at least 45 in a
            // window, and 0.26 of that while cold.
            double bearable = rules.overloadMultiple() * rules.coldCapacityShare() * 45;
            long most =
                    world.mostWithin(
                            id, start, start + rules.warmUpMicros(), rules.overloadMicros());
            assertTrue(
                    most <= bearable, n + " routers sent " + id + " " + most + " of " + bearable);
            assertTrue(
                    world.mostWithin(id, start, start + 13 * SECOND, 13 * SECOND) > 0,
                    id + " was sent no request");
        }
    }

    /**
     * A restarted prefill server has a quarter of a warm one's capacity from the start. Guards
     * against leaving it idle until it is warm.
     */
    @Test
    void aWarmingUpServerGetsItsShareThoughEachRouterSeesItSeldom() {
        List<Server> fleet = fleet(25, 25);
        FleetSimulation world = new FleetSimulation(100, fleet);
        Random random = new Random(8);
        long start = 25 * SECOND;
        for (int id = 0; id < 75 * 37; id++) {
            world.schedule(
                    SECOND + (long) (random.nextDouble() * 37 * SECOND),
                    random.nextInt(100),
                    request(id, "s" + random.nextInt(2000), "p" + random.nextInt(200), 1000, 600));
        }
        List<Server> cold =
                fleet.stream()
                        .filter(s -> Set.of("r3", "r7", "w27", "w31").contains(s.id()))
                        .map(s -> withState(s, ServerState.SERVING, start))
                        .toList();
        for (int i = 0; i < 100; i++) {
            world.schedule(start, i, new Members(ListUpdateKind.UPDATE, cold));
        }
        world.runUntil(start + 12 * SECOND);
        long all = 0;
        for (Server s : cold) {
            // 75 requests per second over 25 servers of a role: 36 to a warm one in 12 s.
            long sent = world.mostWithin(s.id(), start, start + 12 * SECOND, 12 * SECOND);
            long most = world.mostWithin(s.id(), start, start + 12 * SECOND, 3 * SECOND);
            all += sent;
            assertTrue(
                    sent >= 1 && most <= 9 * 3 * 0.26,
                    s.id() + " was sent " + sent + ", " + most + " in 3 s");
        }
        assertTrue(all >= 4 * 36 * 0.1, all + " sent to the four cold servers");
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 150})
    void newRoutersSendAWarmingUpFleetLittle(int n) {
        List<Server> cold =
                fleet(10, 10).stream().map(s -> withState(s, ServerState.SERVING, SECOND)).toList();
        FleetSimulation world = new FleetSimulation(n, cold);
        Random random = new Random(n);
        for (int id = 0; id < 150 * 8; id++) {
            world.schedule(
                    SECOND + (long) (random.nextDouble() * 8 * SECOND),
                    random.nextInt(n),
                    request(id, "s" + id, "p" + random.nextInt(30), 1000, 600));
        }
        world.runUntil(10 * SECOND);
        for (String id : world.sends.keySet()) {
            assertTrue(
                    world.mostWithin(id, 0, 10 * SECOND, 3 * SECOND) <= 12,
                    id + world.sends.get(id));
        }
    }

    @Test
    void equalCostsDoNotSendAllRoutersToTheFirstServer() {
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
        assertTrue(
                hits.size() > 6 && hits.values().stream().allMatch(h -> h < 40),
                "requests by prefill server: " + hits);
    }

    @Test
    void manyRoutersDoNotSendAHotPrefixToOneServer() {
        FleetSimulation world = new FleetSimulation(100, fleet(10, 10));
        Random random = new Random(3);
        for (int id = 0; id < 3000; id++) {
            world.schedule(
                    SECOND + (long) (random.nextDouble() * 30 * SECOND),
                    random.nextInt(100),
                    request(
                            id,
                            "s" + id,
                            id % 2 == 0 ? "hot" : "p" + random.nextInt(60),
                            1000,
                            800));
        }
        world.runUntil(31 * SECOND);
        long most =
                world.sends.entrySet().stream()
                        .filter(e -> e.getKey().startsWith("r"))
                        .mapToLong(e -> e.getValue().stream().filter(t -> t > 16 * SECOND).count())
                        .max()
                        .orElseThrow();
        assertTrue(most < 450, "the busiest of ten prefill servers got " + most + " of 1500");
    }

    @Test
    void aCellWithFewDecodersSpillsToThoseWithMany() {
        List<Server> skewed =
                List.of(
                        prefillServer("r0", 0),
                        prefillServer("r1", 0),
                        prefillServer("r2", 0),
                        prefillServer("r3", 1),
                        decodeServer("w0", 0),
                        decodeServer("w1", 1),
                        decodeServer("w2", 1),
                        decodeServer("w3", 1));
        FleetSimulation world = new FleetSimulation(40, skewed);
        Random random = new Random(5);
        for (int id = 0; id < 2000; id++) {
            world.schedule(
                    SECOND + (long) (random.nextDouble() * 30 * SECOND),
                    random.nextInt(40),
                    request(id, "s" + id, null, 1000, 0));
        }
        world.runUntil(33 * SECOND);
        int all =
                List.of("w0", "w1", "w2", "w3").stream()
                        .mapToInt(w -> world.sends.get(w).size())
                        .sum();
        for (String w : List.of("w0", "w1", "w2", "w3")) {
            double share = world.sends.get(w).size() / (double) all;
            assertTrue(share > 0.15 && share < 0.35, w + " decoded a share of " + share);
        }
    }

    @Test
    void allRoutersShareTheNumberOfAlwaysAdmittedRequests() {
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
        assertTrue(letIn.get(3) >= 6 && letIn.get(3) <= 18, "admitted: " + letIn);
        assertTrue(letIn.get(150) >= 6 && letIn.get(150) <= 60, "admitted: " + letIn);
    }

    @Test
    void admissionResumesSoonAfterCongestionThoughFewRequestsArrive() {
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
        assertTrue(served >= 12, "requests served after the congestion: " + served);
    }
}
