package sorrelhoist.routing;

import static sorrelhoist.routing.Fixtures.SECOND;
import static sorrelhoist.routing.Fixtures.all;
import static sorrelhoist.routing.Fixtures.decodeServer;
import static sorrelhoist.routing.Fixtures.ended;
import static sorrelhoist.routing.Fixtures.fleet;
import static sorrelhoist.routing.Fixtures.prefillServer;
import static sorrelhoist.routing.Fixtures.settings;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import sorrelhoist.routing.RoutingActions.Action;
import sorrelhoist.routing.RoutingActions.Send;
import sorrelhoist.routing.RoutingActions.Tell;
import sorrelhoist.routing.RoutingActions.Timer;
import sorrelhoist.routing.RoutingEvents.Event;
import sorrelhoist.routing.RoutingEvents.ListUpdateKind;
import sorrelhoist.routing.RoutingEvents.Members;
import sorrelhoist.routing.RoutingEvents.Outcome;
import sorrelhoist.routing.RoutingEvents.PeerMessage;
import sorrelhoist.routing.RoutingEvents.Server;
import sorrelhoist.routing.RoutingEvents.StreamStarted;
import sorrelhoist.routing.RoutingEvents.TimerFired;
import sorrelhoist.routing.RoutingSettings.Capabilities;
import sorrelhoist.routing.RoutingSettings.Idempotency;
import sorrelhoist.routing.RoutingSettings.IdempotencyScope;
import sorrelhoist.routing.RoutingSettings.LoadReportMode;

/**
 * A simulation of many routers and one fleet with one clock: each prefill takes 60 ms, a first
 * token 40 ms, an answer a second.
 */
final class FleetSimulation {
    static RoutingSettings routerSettings(int routers, int self) {
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

    static List<RoutingPolicy> routers(int n, List<Server> fleet) {
        List<RoutingPolicy> all = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            all.add(new RoutingPolicy(routerSettings(n, i), 31 + i));
            all.get(i).onEvent(0, new Members(ListUpdateKind.RESTORED, fleet));
        }
        return all;
    }

    static List<Server> fleet(int readers, int writers) {
        List<Server> fleet = new ArrayList<>();
        for (int i = 0; i < readers + writers; i++) {
            fleet.add(i < readers ? prefillServer("r" + i, i % 4) : decodeServer("w" + i, i % 4));
        }
        return fleet;
    }

    record ScheduledEvent(long at, long order, int router, Event event) {}

    final Map<String, List<Long>> sends = new TreeMap<>();
    final PriorityQueue<ScheduledEvent> scheduledEvents =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Long.compare(a.at, b.at)
                                    : Long.compare(a.order, b.order));
    final Map<Long, Integer> attempts = new TreeMap<>();
    final List<RoutingPolicy> routers;

    /** Servers at which sends fail quickly, until {@link #failingUntil}. */
    Set<String> failing = Set.of();

    long failingUntil = Long.MAX_VALUE;
    int failures;

    /** Server whose attempts sent from {@link #silentFrom} on are never answered and time out. */
    String silent = "";

    boolean gossipDelivered = true;
    long silentFrom = Long.MAX_VALUE;
    long order;

    /** Starts the routers as part of the simulation, so that their timers run as well. */
    FleetSimulation(int n, List<Server> fleet) {
        routers = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            routers.add(new RoutingPolicy(routerSettings(n, i), 31 + i));
            schedule(0, i, new Members(ListUpdateKind.RESTORED, fleet));
        }
    }

    void schedule(long at, int router, Event event) {
        scheduledEvents.add(new ScheduledEvent(at, order++, router, event));
    }

    void runUntil(long end) {
        while (!scheduledEvents.isEmpty() && scheduledEvents.peek().at < end) {
            ScheduledEvent d = scheduledEvents.poll();
            for (Action a : routers.get(d.router).onEvent(d.at, d.event)) {
                perform(d.at, d.router, a);
            }
        }
    }

    void perform(long now, int router, Action action) {
        if (action instanceof Timer t) {
            schedule(now + Math.max(1, t.delayMicros()), router, new TimerFired(t.token()));
        } else if (action instanceof Tell t && gossipDelivered) {
            for (int i = 0; i < routers.size(); i++) {
                if (i != router) {
                    schedule(now + 5000, i, new PeerMessage(router, t.body()));
                }
            }
        } else if (action instanceof Send s) {
            performSend(now, router, s);
        }
    }

    private void performSend(long now, int router, Send s) {
        sends.computeIfAbsent(s.server(), id -> new ArrayList<>()).add(now);
        int n = attempts.merge(s.id(), 1, Integer::sum) - 1;
        if (s.server().equals(silent) && now >= silentFrom) {
            schedule(s.cutAt(), router, ended(s, n, Outcome.TIMED_OUT, s.cutAt() - now, 0));
        } else if (failing.contains(s.server()) && now < failingUntil) {
            failures++;
            schedule(now + 2000, router, ended(s, n, Outcome.ERROR, 2000, 0));
        } else if (s.server().startsWith("r")) {
            schedule(now + 60_000, router, ended(s, n, Outcome.READ, 60_000, 0));
        } else {
            schedule(now + 40_000, router, new StreamStarted(s.id(), n, s.server(), 40_000));
            schedule(now + SECOND, router, ended(s, n, Outcome.DONE, SECOND, 0));
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
