package sorrelhoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sorrelhoist.routing.Fixtures.SECOND;
import static sorrelhoist.routing.Fixtures.all;
import static sorrelhoist.routing.Fixtures.ended;
import static sorrelhoist.routing.Fixtures.request;
import static sorrelhoist.routing.Fixtures.send;
import static sorrelhoist.routing.FleetSimulation.fleet;
import static sorrelhoist.routing.FleetSimulation.routerSettings;
import static sorrelhoist.routing.FleetSimulation.routers;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingActions.Tell;
import sorrelhoist.routing.RoutingEvents.Arrived;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Members;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.PeerMessage;

/** Tests what many routers that share one fleet learn through gossip. */
class FleetGossipTest {
    /**
     * {@return the number of prefills sent to a prefill server in the six seconds after it stopped
     * answering}
     */
    private static long sentToSilent(int n, boolean gossip) {
        FleetSimulation world = new FleetSimulation(n, fleet(10, 10));
        world.gossipDelivered = gossip;
        world.silent = "r3";
        world.silentFrom = 20 * SECOND;
        Random random = new Random(n);
        for (int id = 0; id < 75 * 26; id++) {
            world.schedule(
                    SECOND + (long) (random.nextDouble() * 25 * SECOND),
                    random.nextInt(n),
                    request(id, "s" + random.nextInt(900), "p" + random.nextInt(60), 1000, 600));
        }
        world.runUntil(26 * SECOND);
        return world.mostWithin("r3", 20 * SECOND, 26 * SECOND, 6 * SECOND);
    }

    /**
     * Guards against late detection of a hanging server. Without gossip, each router detects it
     * only by its own lost requests, and sends too few to detect it soon.
     */
    @Test
    void aHangingServerIsGossipedBeforeItsAttemptsTimeOut() {
        long withoutGossip = sentToSilent(100, false);
        long withGossip = sentToSilent(100, true);
        assertTrue(
                withGossip < 0.6 * withoutGossip,
                withGossip
                        + " prefills sent to a silent prefill server with gossip, "
                        + withoutGossip
                        + " without gossip");
    }

    /**
     * {@return the number of attempts that failed within 20 s at the given servers, with 75
     * requests per second over 100 routers}
     */
    private static int failures(boolean gossip, Set<String> failing) {
        FleetSimulation world = new FleetSimulation(100, fleet(10, 10));
        world.gossipDelivered = gossip;
        world.failing = failing;
        Random random = new Random(5);
        for (int id = 0; id < 75 * 20; id++) {
            world.schedule(
                    SECOND + (long) (random.nextDouble() * 20 * SECOND),
                    random.nextInt(100),
                    request(id, "s" + random.nextInt(900), "p" + random.nextInt(60), 1000, 600));
        }
        world.runUntil(22 * SECOND);
        return world.failures;
    }

    /**
     * Guards against repeated failures at one server: each failure costs a request that may not be
     * repeated, and without gossip each router would need two failures per failing server to eject
     * it.
     */
    @Test
    void aFastFailingServerIsEjectedByGossip() {
        int withoutGossip = failures(false, Set.of("w13"));
        int withGossip = failures(true, Set.of("w13"));
        assertTrue(
                withGossip < 0.5 * withoutGossip,
                withGossip + " failures with gossip, " + withoutGossip + " without gossip");
    }

    /**
     * Guards against a recovered server that stays idle: the router that detects the recovery
     * gossips it, and the others, whose own recovery probes are due much later, send there again.
     */
    @Test
    void aRecoveredServerSoonGetsItsShare() {
        FleetSimulation world = new FleetSimulation(100, fleet(10, 10));
        world.failing = Set.of("w13");
        world.failingUntil = 12 * SECOND;
        Random random = new Random(6);
        for (int id = 0; id < 75 * 30; id++) {
            world.schedule(
                    SECOND + (long) (random.nextDouble() * 30 * SECOND),
                    random.nextInt(100),
                    request(id, "s" + random.nextInt(900), "p" + random.nextInt(60), 1000, 600));
        }
        world.runUntil(31 * SECOND);
        long sick =
                world.sends.get("w13").stream()
                        .filter(t -> t > 6 * SECOND && t < 12 * SECOND)
                        .count();
        long well =
                world.sends.get("w13").stream()
                        .filter(t -> t > 21 * SECOND && t < 31 * SECOND)
                        .count();
        assertTrue(sick <= 20, sick + " sent in six seconds to a failing server, of about 45");
        assertTrue(well >= 35, well + " sent in ten seconds after its recovery, of about 75");
    }

    /**
     * Half of the decode servers fail. Guards against the ejection of the healthy ones by false or
     * random reports.
     */
    @Test
    void gossipAboutManyServersLeavesTheHealthyOnesInUse() {
        int withoutGossip = failures(false, Set.of("w10", "w12", "w14", "w16", "w18"));
        int withGossip = failures(true, Set.of("w10", "w12", "w14", "w16", "w18"));
        assertTrue(
                withGossip <= withoutGossip,
                withGossip + " failures with gossip, " + withoutGossip + " without gossip");
    }

    @Test
    void aDelayThatOneRouterObservedIsAvoidedByAnother() {
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
    void malformedGossipIsIgnored() {
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
        RoutingPolicy d = new RoutingPolicy(routerSettings(2, 0), 1);
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
        assertTrue(forOther.contains(s.server()), "the other class was sent to " + forOther);
        assertFalse(all(d.onEvent(now, other), Send.class).isEmpty());
    }
}
